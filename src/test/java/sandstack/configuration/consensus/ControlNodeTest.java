package sandstack.configuration.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import sandstack.configuration.ChangeRefusal.Reason;
import sandstack.configuration.ConfigurationChange;
import sandstack.configuration.ConfigurationEdit;
import sandstack.configuration.ConfigurationLimits;
import sandstack.configuration.ConfigurationVersion;
import sandstack.configuration.consensus.SimulatedCluster.Attempt;

/** The agreement among control machines, in simulated time, under one fault at a time. */
class ControlNodeTest {
    private static final long SEED = 40;
    private static final int SNAPSHOT_EVERY = 20;
    /** Within so long all are equal after a heal. */
    private static final Duration ALL_EQUAL_WITHIN = Duration.ofSeconds(16);
    /** Within so long a machine that reaches no quorum says so. */
    private static final Duration QUORUM_MISSED_WITHIN = Duration.ofSeconds(8);

    private static SimulatedCluster started(int size) {
        SimulatedCluster cluster = new SimulatedCluster(size, SEED, SNAPSHOT_EVERY);
        cluster.startAll();
        cluster.awaitLeader();
        return cluster;
    }

    private static void agree(SimulatedCluster cluster, int changes) {
        for (int i = 0; i < changes; i++) {
            assertThat(cluster.agree().outcome).isInstanceOf(ProposalOutcome.Agreed.class);
        }
    }

    /** Null where the attempt was not refused. */
    private static Reason refusalOf(Attempt attempt) {
        return attempt.outcome instanceof ProposalOutcome.Refused refused
                ? refused.refusal().reason()
                : null;
    }

    private static void assertWhole(SimulatedCluster cluster, int changes) {
        assertThat(cluster.settleAndCheck(ALL_EQUAL_WITHIN)).isEmpty();
        assertThat(cluster.checker.agreedChanges()).isEqualTo(changes);
        assertThat(cluster.machines.get(0).node.current().version().index()).isEqualTo(changes);
    }

    @ParameterizedTest
    @ValueSource(ints = {5, 7})
    void changesAreInOneOrderEverywhere(int size) {
        SimulatedCluster cluster = started(size);
        agree(cluster, 50);
        assertWhole(cluster, 50);
    }

    @ParameterizedTest
    @ValueSource(ints = {5, 7})
    void anotherLeadsWhereTheLeaderIsKilledAndItComesBackWithItsDisk(int size) {
        SimulatedCluster cluster = started(size);
        agree(cluster, 10);
        SimulatedMachine first = cluster.awaitLeader();
        first.kill();
        agree(cluster, 30);
        assertThat(cluster.awaitLeader()).isNotSameAs(first);
        cluster.start(first);
        agree(cluster, 3);
        assertWhole(cluster, 43);
    }

    @Test
    void allAreKilledAtOnceAndGoOnFromTheirDisks() {
        SimulatedCluster cluster = started(7);
        agree(cluster, 33);
        cluster.machines.forEach(SimulatedMachine::kill);
        cluster.startAll();
        agree(cluster, 5);
        assertWhole(cluster, 38);
    }

    @Test
    void aLeaderThatWasPausedAgreesOnNothingAlone() {
        SimulatedCluster cluster = started(7);
        agree(cluster, 5);
        SimulatedMachine paused = cluster.awaitLeader();
        paused.pause();
        agree(cluster, 5);
        paused.resume();
        Attempt late =
                cluster.propose(paused, cluster.drawChange(paused.node.current().version()));
        cluster.runFor(Duration.ofSeconds(8));
        assertThat(late.outcome).isNotNull().isNotInstanceOf(ProposalOutcome.Agreed.class);
        assertWhole(cluster, 10);
    }

    /** It sends heartbeats and hears nothing, so that without a quorum's answers it has to give up. */
    @Test
    void aLeaderThatCannotHearTheOthersGivesUp() {
        SimulatedCluster cluster = started(7);
        agree(cluster, 5);
        SimulatedMachine deaf = cluster.awaitLeader();
        cluster.machines.forEach(other -> cluster.network.cut(other.identity, deaf.identity));
        cluster.runFor(Duration.ofSeconds(16));
        assertThat(cluster.awaitLeader()).isNotSameAs(deaf);
        agree(cluster, 5);
        assertWhole(cluster, 10);
    }

    /** It hears and reaches all others, and so asks them again and again to vote for it. */
    @Test
    void aMachineThatDoesNotHearTheLeaderDoesNotUnseatIt() {
        SimulatedCluster cluster = started(7);
        agree(cluster, 5);
        SimulatedMachine leader = cluster.awaitLeader();
        SimulatedMachine deaf = cluster.machines.stream()
                .filter(machine -> machine != leader)
                .findFirst()
                .orElseThrow();
        cluster.machines.forEach(other -> cluster.network.cut(leader.identity, deaf.identity));
        long term = leader.node.currentTerm();
        cluster.runFor(Duration.ofSeconds(60));
        assertThat(cluster.awaitLeader()).isSameAs(leader);
        assertThat(leader.node.currentTerm()).isEqualTo(term);
        agree(cluster, 5);
        assertWhole(cluster, 10);
    }

    @Test
    void withTheRegionsApartTheMajorityGoesOnAndTheMinorityRefusesAtOnce() {
        SimulatedCluster cluster = started(7);
        agree(cluster, 5);
        // followers learn with the next message that the last change is committed
        cluster.runFor(Duration.ofSeconds(2));
        cluster.cutRegions();
        cluster.runFor(QUORUM_MISSED_WITHIN);
        for (SimulatedMachine machine : cluster.machines) {
            if (machine.region == 0) {
                assertRefusedAtOnceWithoutQuorum(cluster, machine);
            }
        }
        agree(cluster, 45);
        assertThat(cluster.awaitLeader().region).isEqualTo(1);
        assertThat(cluster.machines.get(0).node.current().version().index()).isEqualTo(5);
        assertWhole(cluster, 50);
    }

    private static void assertRefusedAtOnceWithoutQuorum(SimulatedCluster cluster, SimulatedMachine machine) {
        ConfigurationChange change = cluster.drawChange(machine.node.current().version());
        Attempt attempt = cluster.propose(machine, change);
        cluster.runFor(Duration.ofMillis(1));
        assertThat(refusalOf(attempt)).isEqualTo(Reason.NO_QUORUM);
    }

    /** The leader is in the minority; what it is asked for at any moment is answered within the proposal timeout. */
    @Test
    void aLeaderCutOffAnswersEachProposalInTime() {
        SimulatedCluster cluster = started(7);
        while (cluster.awaitLeader().region != 0) {
            SimulatedMachine leader = cluster.awaitLeader();
            leader.kill();
            cluster.awaitLeader();
            cluster.start(leader);
            cluster.runFor(Duration.ofSeconds(2));
        }
        agree(cluster, 5);
        SimulatedMachine cutOff = cluster.awaitLeader();
        cluster.cutRegions();
        List<Attempt> attempts = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            attempts.add(cluster.propose(
                    cutOff, cluster.drawChange(cutOff.node.current().version())));
            cluster.runFor(Duration.ofMillis(250));
        }
        cluster.runFor(Duration.ofSeconds(8));
        assertThat(attempts).allSatisfy(attempt -> {
            assertThat(attempt.outcome).isNotNull().isNotInstanceOf(ProposalOutcome.Agreed.class);
            assertThat(attempt.millis()).isLessThanOrEqualTo(6_000);
        });
        Attempt last = attempts.get(attempts.size() - 1);
        assertThat(last.outcome).isInstanceOf(ProposalOutcome.Refused.class);
        assertThat(last.millis()).isZero();
        agree(cluster, 5);
        assertWhole(cluster, 10);
    }

    @Test
    void aChangeProposedTwiceIsAppliedOnceAndAnsweredAlike() {
        SimulatedCluster cluster = started(5);
        agree(cluster, 2);
        SimulatedMachine leader = cluster.awaitLeader();
        ConfigurationChange change = cluster.drawChange(leader.node.current().version());
        Attempt one = cluster.propose(leader, change);
        Attempt two = cluster.propose(leader, change);
        cluster.runFor(Duration.ofSeconds(1));
        agree(cluster, 30);
        leader.kill();
        Attempt three = cluster.propose(cluster.awaitLeader(), change);
        cluster.runFor(Duration.ofSeconds(1));
        assertThat(one.outcome).isInstanceOf(ProposalOutcome.Agreed.class);
        assertThat(two.outcome).isEqualTo(one.outcome);
        assertThat(three.outcome).isEqualTo(one.outcome);
        assertWhole(cluster, 33);
    }

    @Test
    void ofTwoChangesWithOneBaseTheLaterIsRefused() {
        SimulatedCluster cluster = started(5);
        SimulatedMachine leader = cluster.awaitLeader();
        Attempt one = cluster.propose(leader, cluster.drawChange(ConfigurationVersion.NONE));
        Attempt two = cluster.propose(leader, cluster.drawChange(ConfigurationVersion.NONE));
        cluster.runFor(Duration.ofSeconds(1));
        assertThat(one.outcome).isInstanceOf(ProposalOutcome.Agreed.class);
        assertThat(refusalOf(two)).isEqualTo(Reason.CONFLICTING_BASE);
        assertWhole(cluster, 1);
    }

    @Test
    void whatIsInvalidIsRefusedBeforeItIsPutToTheOthers() {
        SimulatedCluster cluster = started(5);
        SimulatedMachine leader = cluster.awaitLeader();
        String large = "x".repeat(ConfigurationLimits.DEFAULT.valueBytes() + 1);
        ConfigurationChange tooLarge = ConfigurationChange.of(
                ConfigurationVersion.NONE, "ann", "large", List.of(new ConfigurationEdit.Put("key", large)));
        ConfigurationChange future = new ConfigurationChange(
                ConfigurationChange.FORMAT_VERSION + 1,
                ConfigurationVersion.NONE,
                "ann",
                "future",
                List.of(new ConfigurationEdit.Put("key", "value")));
        Attempt large1 = cluster.propose(leader, tooLarge);
        Attempt future1 = cluster.propose(leader, future);
        assertThat(refusalOf(large1)).isEqualTo(Reason.VALUE_TOO_LARGE);
        assertThat(refusalOf(future1)).isEqualTo(Reason.UNKNOWN_FORMAT);
        assertWhole(cluster, 0);
    }

    @Test
    void moreProposalsThanMayBeOutAreRefused() {
        SimulatedCluster cluster = started(5);
        SimulatedMachine leader = cluster.awaitLeader();
        List<Attempt> attempts = new ArrayList<>();
        for (int i = 0; i < 500; i++) {
            attempts.add(cluster.propose(leader, cluster.drawChange(ConfigurationVersion.NONE)));
        }
        cluster.runFor(Duration.ofSeconds(10));
        assertThat(attempts).allSatisfy(attempt -> assertThat(attempt.outcome).isNotNull());
        assertThat(attempts).extracting(ControlNodeTest::refusalOf).contains(Reason.TOO_MANY);
        assertWhole(cluster, 1);
    }

    @Test
    void theAgreementStartsNoThread() {
        int before = Thread.activeCount();
        SimulatedCluster cluster = started(7);
        agree(cluster, 30);
        assertThat(Thread.activeCount()).isEqualTo(before);
        assertWhole(cluster, 30);
    }

    @Test
    void aMachineThatDoesNotLeadNamesWhoDoes() {
        SimulatedCluster cluster = started(5);
        cluster.runFor(Duration.ofSeconds(2));
        SimulatedMachine leader = cluster.awaitLeader();
        SimulatedMachine follower = cluster.machines.stream()
                .filter(machine -> machine != leader)
                .findFirst()
                .orElseThrow();
        Attempt attempt = cluster.propose(follower, cluster.drawChange(ConfigurationVersion.NONE));
        assertThat(attempt.outcome).isEqualTo(new ProposalOutcome.NotLeader(leader.identity));
        assertWhole(cluster, 0);
    }
}
