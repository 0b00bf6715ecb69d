package sandstack.configuration.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.Test;
import sandstack.configuration.ChangeValidator;
import sandstack.configuration.CommittedChange;
import sandstack.configuration.CommittedChangeListener;
import sandstack.configuration.ConfigurationChange;
import sandstack.configuration.ConfigurationCodec;
import sandstack.configuration.ConfigurationSnapshot;
import sandstack.configuration.MalformedConfigurationException;

/** The checker detects deliberately injected faults, so that an empty list of violations in other tests is evidence. */
class HistoryCheckerTest {
    private static final Duration RECOVERY_TIME = Duration.ofSeconds(16);

    /** Does not apply the entry of the eleventh proposal. */
    private static final class SkippingStateMachine extends ConfigurationStateMachine {
        private int appliedProposals;

        SkippingStateMachine(ChangeValidator validator, CommittedChangeListener listener, LongSupplier leaderTerm) {
            super(validator, listener, leaderTerm);
        }

        @Override
        public Object runOperation(long commitIndex, Object operation) {
            if (operation instanceof LogOperation.Proposal && ++appliedProposals == 11) {
                return null;
            }
            return super.runOperation(commitIndex, operation);
        }
    }

    /** Applies each retry again, because it replaces every idempotency key with a new one. */
    private static final class ReapplyingStateMachine extends ConfigurationStateMachine {
        ReapplyingStateMachine(ChangeValidator validator, CommittedChangeListener listener, LongSupplier leaderTerm) {
            super(validator, listener, leaderTerm);
        }

        @Override
        public Object runOperation(long commitIndex, Object operation) {
            if (!(operation instanceof LogOperation.Proposal proposal)) {
                return super.runOperation(commitIndex, operation);
            }
            return super.runOperation(
                    commitIndex, new LogOperation.Proposal(new IdempotencyKey(commitIndex, 1), rebased(proposal)));
        }

        private byte[] rebased(LogOperation.Proposal proposal) {
            ConfigurationCodec codec = new ConfigurationCodec(SimulatedMachine.VALIDATOR.limits());
            try {
                ConfigurationChange change = codec.decodeChange(proposal.encodedChange());
                return codec.encode(
                        ConfigurationChange.of(current().version(), change.author(), change.reason(), change.edits()));
            } catch (MalformedConfigurationException e) {
                throw new AssertionError(e);
            }
        }
    }

    private static SimulatedCluster cluster(SimulatedMachine.StateMachineCreator faulty, int faultyMachines) {
        SimulatedCluster cluster = new SimulatedCluster(5, 1, 1_000);
        cluster.machines.stream().limit(faultyMachines).forEach(machine -> machine.stateMachineCreator = faulty);
        cluster.startAll();
        cluster.awaitLeader();
        return cluster;
    }

    private static void commit(SimulatedCluster cluster, int changes) {
        for (int i = 0; i < changes; i++) {
            cluster.commitChange();
        }
    }

    @Test
    void skippedChangeIsDetected() {
        SimulatedCluster cluster = cluster(SkippingStateMachine::new, 1);
        commit(cluster, 20);
        assertThat(cluster.recoverAndCheck(RECOVERY_TIME))
                .anyMatch(violation -> violation.contains("where another machine reported"));
    }

    @Test
    void changeAppliedTwiceIsDetected() {
        SimulatedCluster cluster = cluster(ReapplyingStateMachine::new, 5);
        SimulatedMachine leader = cluster.awaitLeader();
        ConfigurationChange change = cluster.randomChange(leader.node.current().version());
        cluster.propose(leader, change);
        cluster.runFor(Duration.ofSeconds(1));
        cluster.propose(leader, change);
        assertThat(cluster.recoverAndCheck(RECOVERY_TIME))
                .anyMatch(violation -> violation.contains("was applied at 1 and 2"));
    }

    /** A leader reports a change when it is proposed, before the other machines have stored it. */
    @Test
    void changeReportedBeforeItsCommitIsDetected() {
        SimulatedCluster cluster = cluster(ConfigurationStateMachine::new, 5);
        SimulatedMachine leader = cluster.awaitLeader();
        ConfigurationSnapshot before = leader.node.current();
        ConfigurationChange change = cluster.randomChange(before.version());
        cluster.propose(leader, change);
        ConfigurationSnapshot after = before.apply(before.version().next(leader.node.currentTerm()), change);
        cluster.checker.new Incarnation(leader.identity)
                .committed(
                        new CommittedChange(after.version(), change, after.digest()),
                        () -> cluster.majorityStores(new CommittedChange(after.version(), change, after.digest())));
        assertThat(cluster.recoverAndCheck(RECOVERY_TIME))
                .anyMatch(violation -> violation.contains("before a majority of the disks stored it"));
    }

    /** Disks lose state whose flush they acknowledged. */
    @Test
    void disksThatLoseFlushesAreDetected() {
        SimulatedCluster cluster = cluster(ConfigurationStateMachine::new, 5);
        commit(cluster, 5);
        cluster.machines.forEach(machine -> machine.disk.loseFlushes());
        commit(cluster, 5);
        cluster.machines.forEach(SimulatedMachine::kill);
        cluster.startAll();
        commit(cluster, 5);
        assertThat(cluster.recoverAndCheck(RECOVERY_TIME))
                .anyMatch(violation -> violation.contains("where another machine reported"));
    }

    /** A wiped disk must not vote under its old identity, as a committed change can then lose its majority. */
    @Test
    void wipedDiskThatVotesUnderItsOldIdentityIsDetected() {
        SimulatedCluster cluster = cluster(ConfigurationStateMachine::new, 5);
        List<SimulatedMachine> storingMachines = cluster.machines.subList(0, 3);
        List<SimulatedMachine> restartedLater = cluster.machines.subList(3, 5);
        cluster.runFor(Duration.ofSeconds(3));
        restartedLater.forEach(SimulatedMachine::kill);
        commit(cluster, 5);
        storingMachines.forEach(SimulatedMachine::kill);
        storingMachines.get(0).disk.wipe();
        restartedLater.forEach(cluster::start);
        cluster.start(storingMachines.get(0));
        commit(cluster, 5);
        assertThat(cluster.recoverAndCheck(RECOVERY_TIME))
                .anyMatch(violation -> violation.contains("where another machine reported"));
    }

    @Test
    void noViolationIsReportedWithoutAFault() {
        SimulatedCluster cluster = cluster(ConfigurationStateMachine::new, 5);
        commit(cluster, 20);
        assertThat(cluster.recoverAndCheck(RECOVERY_TIME)).isEmpty();
    }
}
