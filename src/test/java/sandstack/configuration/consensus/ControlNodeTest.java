package sandstack.configuration.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import sandstack.configuration.ChangeRejection.Reason;
import sandstack.configuration.ConfigurationChange;
import sandstack.configuration.ConfigurationEdit;
import sandstack.configuration.ConfigurationLimits;
import sandstack.configuration.ConfigurationVersion;
import sandstack.configuration.consensus.SimulatedCluster.Attempt;

/** Checks the consensus of the control machines in simulated time, under one fault at a time. */
class ControlNodeTest {
    private static final long SEED = 40;
    private static final int SNAPSHOT_INTERVAL_ENTRIES = 20;
    /** Time after the end of a fault within which all machines must have the same configuration. */
    private static final Duration CONVERGENCE_BOUND = Duration.ofSeconds(16);
    /** Maximum time from the loss of the quorum until a machine rejects proposals at once. */
    private static final Duration QUORUM_LOSS_BOUND = Duration.ofSeconds(8);

    private static SimulatedCluster started(int size) {
        SimulatedCluster cluster = new SimulatedCluster(size, SEED, SNAPSHOT_INTERVAL_ENTRIES);
        cluster.startAll();
        cluster.awaitLeader();
        return cluster;
    }

    private static void commit(SimulatedCluster cluster, int changes) {
        for (int i = 0; i < changes; i++) {
            assertThat(cluster.commitChange().outcome).isInstanceOf(ProposalOutcome.Committed.class);
        }
    }

    /** Returns null if the attempt was not rejected. */
    private static Reason rejectionReasonOf(Attempt attempt) {
        return attempt.outcome instanceof ProposalOutcome.Rejected rejected
                ? rejected.rejection().reason()
                : null;
    }

    private static void assertComplete(SimulatedCluster cluster, int changes) {
        assertThat(cluster.recoverAndCheck(CONVERGENCE_BOUND)).isEmpty();
        assertThat(cluster.checker.committedChanges()).isEqualTo(changes);
        assertThat(cluster.machines.get(0).node.current().version().index()).isEqualTo(changes);
    }

    @ParameterizedTest
    @ValueSource(ints = {5, 7})
    void changesHaveOneOrderOnAllMachines(int size) {
        SimulatedCluster cluster = started(size);
        commit(cluster, 50);
        assertComplete(cluster, 50);
    }

    @ParameterizedTest
    @ValueSource(ints = {5, 7})
    void newLeaderIsElectedAndTheKilledOneRejoinsWithItsDisk(int size) {
        SimulatedCluster cluster = started(size);
        commit(cluster, 10);
        SimulatedMachine first = cluster.awaitLeader();
        first.kill();
        commit(cluster, 30);
        assertThat(cluster.awaitLeader()).isNotSameAs(first);
        cluster.start(first);
        commit(cluster, 3);
        assertComplete(cluster, 43);
    }

    @Test
    void allMachinesRecoverFromTheirDisksAfterBeingKilledAtOnce() {
        SimulatedCluster cluster = started(7);
        commit(cluster, 33);
        cluster.machines.forEach(SimulatedMachine::kill);
        cluster.startAll();
        commit(cluster, 5);
        assertComplete(cluster, 38);
    }

    @Test
    void pausedLeaderCommitsNothingAlone() {
        SimulatedCluster cluster = started(7);
        commit(cluster, 5);
        SimulatedMachine paused = cluster.awaitLeader();
        paused.pause();
        commit(cluster, 5);
        paused.resume();
        Attempt lateAttempt = cluster.propose(
                paused, cluster.randomChange(paused.node.current().version()));
        cluster.runFor(Duration.ofSeconds(8));
        assertThat(lateAttempt.outcome).isNotNull().isNotInstanceOf(ProposalOutcome.Committed.class);
        assertComplete(cluster, 10);
    }

    /** The leader sends heartbeats but receives no response, so it must step down without a quorum of responses. */
    @Test
    void leaderThatReceivesNothingStepsDown() {
        SimulatedCluster cluster = started(7);
        commit(cluster, 5);
        SimulatedMachine isolated = cluster.awaitLeader();
        cluster.machines.forEach(other -> cluster.network.cut(other.identity, isolated.identity));
        cluster.runFor(Duration.ofSeconds(16));
        assertThat(cluster.awaitLeader()).isNotSameAs(isolated);
        commit(cluster, 5);
        assertComplete(cluster, 10);
    }

    /**
     * The machine exchanges messages with all machines except the leader, from which it receives none, so it requests
     * votes repeatedly. Pre-vote must prevent a new election.
     */
    @Test
    void machineThatReceivesNothingFromTheLeaderDoesNotDisruptIt() {
        SimulatedCluster cluster = started(7);
        commit(cluster, 5);
        SimulatedMachine leader = cluster.awaitLeader();
        SimulatedMachine isolated = cluster.machines.stream()
                .filter(machine -> machine != leader)
                .findFirst()
                .orElseThrow();
        cluster.machines.forEach(other -> cluster.network.cut(leader.identity, isolated.identity));
        long term = leader.node.currentTerm();
        cluster.runFor(Duration.ofSeconds(60));
        assertThat(cluster.awaitLeader()).isSameAs(leader);
        assertThat(leader.node.currentTerm()).isEqualTo(term);
        commit(cluster, 5);
        assertComplete(cluster, 10);
    }

    @Test
    void partitionedMajorityCommitsAndMinorityRejectsAtOnce() {
        SimulatedCluster cluster = started(7);
        commit(cluster, 5);
        // a follower receives the commit index of the last change with the next message
        cluster.runFor(Duration.ofSeconds(2));
        cluster.cutRegions();
        cluster.runFor(QUORUM_LOSS_BOUND);
        for (SimulatedMachine machine : cluster.machines) {
            if (machine.region == 0) {
                assertRejectedAtOnceWithoutQuorum(cluster, machine);
            }
        }
        commit(cluster, 45);
        assertThat(cluster.awaitLeader().region).isEqualTo(1);
        assertThat(cluster.machines.get(0).node.current().version().index()).isEqualTo(5);
        assertComplete(cluster, 50);
    }

    private static void assertRejectedAtOnceWithoutQuorum(SimulatedCluster cluster, SimulatedMachine machine) {
        ConfigurationChange change = cluster.randomChange(machine.node.current().version());
        Attempt attempt = cluster.propose(machine, change);
        cluster.runFor(Duration.ofMillis(1));
        assertThat(rejectionReasonOf(attempt)).isEqualTo(Reason.NO_QUORUM);
    }

    /** The leader is in the partitioned minority; each proposal must complete within the proposal timeout. */
    @Test
    void isolatedLeaderCompletesEachProposalInTime() {
        SimulatedCluster cluster = started(7);
        while (cluster.awaitLeader().region != 0) {
            SimulatedMachine leader = cluster.awaitLeader();
            leader.kill();
            cluster.awaitLeader();
            cluster.start(leader);
            cluster.runFor(Duration.ofSeconds(2));
        }
        commit(cluster, 5);
        SimulatedMachine partitionedLeader = cluster.awaitLeader();
        cluster.cutRegions();
        List<Attempt> attempts = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            attempts.add(cluster.propose(
                    partitionedLeader,
                    cluster.randomChange(partitionedLeader.node.current().version())));
            cluster.runFor(Duration.ofMillis(250));
        }
        cluster.runFor(Duration.ofSeconds(8));
        assertThat(attempts).allSatisfy(attempt -> {
            assertThat(attempt.outcome).isNotNull().isNotInstanceOf(ProposalOutcome.Committed.class);
            assertThat(attempt.latencyMillis()).isLessThanOrEqualTo(6_000);
        });
        Attempt last = attempts.get(attempts.size() - 1);
        assertThat(last.outcome).isInstanceOf(ProposalOutcome.Rejected.class);
        assertThat(last.latencyMillis()).isZero();
        commit(cluster, 5);
        assertComplete(cluster, 10);
    }

    @Test
    void proposalRepeatedUnderItsKeyIsAppliedOnce() {
        SimulatedCluster cluster = started(5);
        commit(cluster, 2);
        SimulatedMachine leader = cluster.awaitLeader();
        ConfigurationChange change = cluster.randomChange(leader.node.current().version());
        Attempt first = cluster.propose(leader, change);
        Attempt second = cluster.propose(leader, change);
        cluster.runFor(Duration.ofSeconds(1));
        commit(cluster, 30);
        leader.kill();
        Attempt third = cluster.propose(cluster.awaitLeader(), change);
        cluster.runFor(Duration.ofSeconds(1));
        assertThat(first.outcome).isInstanceOf(ProposalOutcome.Committed.class);
        assertThat(second.outcome).isEqualTo(first.outcome);
        assertThat(third.outcome).isEqualTo(first.outcome);
        assertComplete(cluster, 33);
    }

    @Test
    void secondChangeOfTheSameBaseIsRejected() {
        SimulatedCluster cluster = started(5);
        SimulatedMachine leader = cluster.awaitLeader();
        Attempt first = cluster.propose(leader, cluster.randomChange(ConfigurationVersion.NONE));
        Attempt second = cluster.propose(leader, cluster.randomChange(ConfigurationVersion.NONE));
        cluster.runFor(Duration.ofSeconds(1));
        assertThat(first.outcome).isInstanceOf(ProposalOutcome.Committed.class);
        assertThat(rejectionReasonOf(second)).isEqualTo(Reason.CONFLICTING_BASE);
        assertComplete(cluster, 1);
    }

    @Test
    void invalidProposalIsRejectedBeforeReplication() {
        SimulatedCluster cluster = started(5);
        SimulatedMachine leader = cluster.awaitLeader();
        String tooLongValue = "x".repeat(ConfigurationLimits.DEFAULT.maxValueBytes() + 1);
        ConfigurationChange tooLarge = ConfigurationChange.of(
                ConfigurationVersion.NONE, "ann", "large", List.of(new ConfigurationEdit.Put("key", tooLongValue)));
        ConfigurationChange futureFormat = new ConfigurationChange(
                ConfigurationChange.FORMAT_VERSION + 1,
                ConfigurationVersion.NONE,
                "ann",
                "future",
                List.of(new ConfigurationEdit.Put("key", "value")));
        Attempt largeAttempt = cluster.propose(leader, tooLarge);
        Attempt futureAttempt = cluster.propose(leader, futureFormat);
        assertThat(rejectionReasonOf(largeAttempt)).isEqualTo(Reason.VALUE_TOO_LARGE);
        assertThat(rejectionReasonOf(futureAttempt)).isEqualTo(Reason.UNKNOWN_FORMAT);
        assertComplete(cluster, 0);
    }

    @Test
    void proposalsBeyondThePendingLimitAreRejected() {
        SimulatedCluster cluster = started(5);
        SimulatedMachine leader = cluster.awaitLeader();
        List<Attempt> attempts = new ArrayList<>();
        for (int i = 0; i < 500; i++) {
            attempts.add(cluster.propose(leader, cluster.randomChange(ConfigurationVersion.NONE)));
        }
        cluster.runFor(Duration.ofSeconds(10));
        assertThat(attempts).allSatisfy(attempt -> assertThat(attempt.outcome).isNotNull());
        assertThat(attempts).extracting(ControlNodeTest::rejectionReasonOf).contains(Reason.TOO_MANY);
        assertComplete(cluster, 1);
    }

    @Test
    void consensusStartsNoThread() {
        int before = Thread.activeCount();
        SimulatedCluster cluster = started(7);
        commit(cluster, 30);
        assertThat(Thread.activeCount()).isEqualTo(before);
        assertComplete(cluster, 30);
    }

    @Test
    void followerNamesTheLeader() {
        SimulatedCluster cluster = started(5);
        cluster.runFor(Duration.ofSeconds(2));
        SimulatedMachine leader = cluster.awaitLeader();
        SimulatedMachine follower = cluster.machines.stream()
                .filter(machine -> machine != leader)
                .findFirst()
                .orElseThrow();
        Attempt attempt = cluster.propose(follower, cluster.randomChange(ConfigurationVersion.NONE));
        assertThat(attempt.outcome).isEqualTo(new ProposalOutcome.NotLeader(leader.identity));
        assertComplete(cluster, 0);
    }
}
