package sandstack.configuration.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;
import sandstack.configuration.consensus.SimulatedRaftNetwork.SentTraffic;

/**
 * Measures traffic, latency and store size of seven machines in simulated time; prints the figures and asserts their
 * bounds.
 */
class ConsensusFiguresTest {
    private static final int MACHINES = 7;
    private static final int SNAPSHOT_INTERVAL_ENTRIES = 1_000;
    private static final long INTER_REGION_DELAY_MICROS = 40_000;
    private static final Duration CHANGE_INTERVAL = Duration.ofMillis(86_400_000 / 3_700);
    private static final Duration MEASUREMENT_DURATION = Duration.ofMinutes(30);
    /** The budget of a relay for control traffic; that of a control machine is many times larger. */
    private static final int BUDGET_BYTES_PER_SECOND = 4_096;

    private static final Duration RECOVERY_BOUND = Duration.ofSeconds(16);

    private static SimulatedCluster started(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(MACHINES, seed, SNAPSHOT_INTERVAL_ENTRIES);
        cluster.network.interRegionDelayMicros = INTER_REGION_DELAY_MICROS;
        cluster.startAll();
        cluster.awaitLeader();
        cluster.runFor(Duration.ofSeconds(5));
        return cluster;
    }

    private static void resetTraffic(SimulatedCluster cluster) {
        for (SentTraffic traffic : cluster.network.sent.values()) {
            traffic.messages = 0;
            traffic.bytes = 0;
        }
    }

    /** Prints the traffic that each machine sent; returns the maximum in bytes per second. */
    private static double printTraffic(String scenario, SimulatedCluster cluster) {
        SimulatedMachine leader = cluster.awaitLeader();
        double maxBytesPerSecond = 0;
        for (SimulatedMachine machine : cluster.machines) {
            SentTraffic traffic = cluster.network.sent.get(machine.identity);
            double bytesPerSecond = (double) traffic.bytes / MEASUREMENT_DURATION.toSeconds();
            maxBytesPerSecond = Math.max(maxBytesPerSecond, bytesPerSecond);
            System.out.printf(
                    Locale.ROOT,
                    "%s: %s %s sends %.2f messages and %.0f bytes per second%n",
                    scenario,
                    machine == leader ? "leader" : "follower",
                    machine.identity,
                    (double) traffic.messages / MEASUREMENT_DURATION.toSeconds(),
                    bytesPerSecond);
        }
        return maxBytesPerSecond;
    }

    @Test
    void trafficWhileIdle() {
        SimulatedCluster cluster = started(1);
        resetTraffic(cluster);
        cluster.runFor(MEASUREMENT_DURATION);
        assertThat(printTraffic("idle", cluster)).isLessThan(BUDGET_BYTES_PER_SECOND);
    }

    /** Commits changes at the rate of 3,700 a day, for half an hour with the leader in each region. */
    @Test
    void trafficAndLatencyWithTheChangesOfADay() {
        for (int leaderRegion = 0; leaderRegion < 2; leaderRegion++) {
            SimulatedCluster cluster = withLeaderIn(leaderRegion);
            resetTraffic(cluster);
            List<Long> millis = new ArrayList<>();
            for (long i = 0; i < MEASUREMENT_DURATION.dividedBy(CHANGE_INTERVAL); i++) {
                cluster.runFor(CHANGE_INTERVAL);
                millis.add(cluster.commitChange().latencyMillis());
            }
            Collections.sort(millis);
            System.out.printf(
                    "leader in the region of %d machines: commit latency %d ms (median), %d ms (maximum of %d)%n",
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
        throw new AssertionError("none of the seeds 1 to 99 elects a leader in region " + region);
    }

    @Test
    void commitLatencyAfterTheLeaderIsKilled() {
        List<Long> millis = new ArrayList<>();
        for (long seed = 1; seed <= 40; seed++) {
            SimulatedCluster cluster = started(seed);
            cluster.commitChange();
            cluster.runFor(Duration.ofMillis(seed * 37));
            long killedMicros = cluster.time.nowMicros();
            cluster.awaitLeader().kill();
            while (!(cluster.commitChange().outcome instanceof ProposalOutcome.Committed)) {
                cluster.runFor(Duration.ofMillis(100));
            }
            millis.add((cluster.time.nowMicros() - killedMicros) / 1_000);
        }
        Collections.sort(millis);
        long maxMillis = millis.get(millis.size() - 1);
        System.out.printf(
                "failover: next commit %d ms after the leader was killed (median), %d ms (maximum of %d)%n",
                millis.get(millis.size() / 2), maxMillis, millis.size());
        assertThat(maxMillis).isLessThan(RECOVERY_BOUND.toMillis());
    }

    @Test
    void storeSizeAfterTheChangesOfADay() {
        SimulatedCluster cluster = started(1);
        SimulatedDisk disk = cluster.awaitLeader().disk;
        disk.countsBytes = true;
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
