package sandstack.configuration.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;
import sandstack.configuration.consensus.SimulatedNetwork.Traffic;

/** Traffic, latency and store size of seven machines in simulated time: prints the figures and asserts their bounds. */
class ConsensusFiguresTest {
    private static final int MACHINES = 7;
    private static final int SNAPSHOT_INTERVAL_ENTRIES = 1_000;
    private static final long BETWEEN_REGIONS_MICROS = 40_000;
    private static final Duration CHANGE_INTERVAL = Duration.ofMillis(86_400_000 / 3_700);
    private static final Duration MEASURED = Duration.ofMinutes(30);
    /** The budget for control traffic at a relay; a control machine has many times more. */
    private static final int BUDGET_BYTES_PER_SECOND = 4_096;

    private static final Duration RECOVERY_BOUND = Duration.ofSeconds(16);

    private static SimulatedCluster started(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(MACHINES, seed, SNAPSHOT_INTERVAL_ENTRIES);
        cluster.network.betweenRegionsMicros = BETWEEN_REGIONS_MICROS;
        cluster.startAll();
        cluster.awaitLeader();
        cluster.runFor(Duration.ofSeconds(5));
        return cluster;
    }

    private static void resetTraffic(SimulatedCluster cluster) {
        for (Traffic traffic : cluster.network.sent.values()) {
            traffic.messages = 0;
            traffic.bytes = 0;
        }
    }

    /** Prints what each machine sent; returns the most bytes a second. */
    private static double printTraffic(String what, SimulatedCluster cluster) {
        SimulatedMachine leader = cluster.awaitLeader();
        double most = 0;
        for (SimulatedMachine machine : cluster.machines) {
            Traffic traffic = cluster.network.sent.get(machine.identity);
            double bytes = (double) traffic.bytes / MEASURED.toSeconds();
            most = Math.max(most, bytes);
            System.out.printf(
                    Locale.ROOT,
                    "%s: %s %s sends %.2f messages and %.0f bytes a second%n",
                    what,
                    machine == leader ? "leader" : "follower",
                    machine.identity,
                    (double) traffic.messages / MEASURED.toSeconds(),
                    bytes);
        }
        return most;
    }

    @Test
    void trafficWhileIdle() {
        SimulatedCluster cluster = started(1);
        resetTraffic(cluster);
        cluster.runFor(MEASURED);
        assertThat(printTraffic("idle", cluster)).isLessThan(BUDGET_BYTES_PER_SECOND);
    }

    @Test
    void trafficAndLatencyWithTheChangesOfADay() {
        for (int leaderRegion = 0; leaderRegion < 2; leaderRegion++) {
            SimulatedCluster cluster = withLeaderIn(leaderRegion);
            resetTraffic(cluster);
            List<Long> millis = new ArrayList<>();
            for (long i = 0; i < MEASURED.dividedBy(CHANGE_INTERVAL); i++) {
                cluster.runFor(CHANGE_INTERVAL);
                millis.add(cluster.commitChange().millis());
            }
            Collections.sort(millis);
            System.out.printf(
                    "leader in the region of %d: agreed within %d ms (median), %d ms (most of %d)%n",
                    leaderRegion == 0 ? 3 : 4,
                    millis.get(millis.size() / 2),
                    millis.get(millis.size() - 1),
                    millis.size());
            assertThat(printTraffic("3,700 changes a day", cluster)).isLessThan(BUDGET_BYTES_PER_SECOND);
            assertThat(millis.get(millis.size() - 1)).isLessThan(200);
        }
    }

    private static SimulatedCluster withLeaderIn(int region) {
        for (long seed = 1; seed < 100; seed++) {
            SimulatedCluster cluster = started(seed);
            if (cluster.awaitLeader().region == region) {
                return cluster;
            }
        }
        throw new AssertionError("no seed of 99 gives a leader in region " + region);
    }

    @Test
    void commitLatencyAfterTheLeaderIsKilled() {
        List<Long> millis = new ArrayList<>();
        for (long seed = 1; seed <= 40; seed++) {
            SimulatedCluster cluster = started(seed);
            cluster.commitChange();
            cluster.runFor(Duration.ofMillis(seed * 37));
            long killed = cluster.time.nowMicros();
            cluster.awaitLeader().kill();
            while (!(cluster.commitChange().outcome instanceof ProposalOutcome.Committed)) {
                cluster.runFor(Duration.ofMillis(100));
            }
            millis.add((cluster.time.nowMicros() - killed) / 1_000);
        }
        Collections.sort(millis);
        long most = millis.get(millis.size() - 1);
        System.out.printf(
                "failover: the next change agreed %d ms after the leader's kill (median), %d ms (most of %d)%n",
                millis.get(millis.size() / 2), most, millis.size());
        assertThat(most).isLessThan(RECOVERY_BOUND.toMillis());
    }

    @Test
    void storeSizeAfterTheChangesOfADay() {
        SimulatedCluster cluster = started(1);
        SimulatedDisk disk = cluster.awaitLeader().disk;
        disk.measured = true;
        for (int i = 0; i < 3_700; i++) {
            cluster.commitChange();
        }
        System.out.printf(
                "3,700 changes: at most %d log entries and %d bytes in the store, %d flushes%n",
                disk.maxLogEntries, disk.maxBytes, disk.flushes);
        assertThat(disk.maxBytes).isPositive().isLessThan(1 << 20);
        assertThat(disk.maxLogEntries).isLessThanOrEqualTo(SNAPSHOT_INTERVAL_ENTRIES + SNAPSHOT_INTERVAL_ENTRIES / 4);
        assertThat(cluster.recoverAndCheck(RECOVERY_BOUND)).isEmpty();
    }
}
