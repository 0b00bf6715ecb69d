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

/** The checker detects planted faults, so that its silence in other tests is evidence. */
class PlantedFaultsTest {
    private static final Duration RECOVERY_TIME = Duration.ofSeconds(16);

    /** Skips the entry of the eleventh proposal. */
    private static final class SkippingStateMachine extends ConfigurationStateMachine {
        private int seen;

        SkippingStateMachine(ChangeValidator validator, CommittedChangeListener listener, LongSupplier leaderTerm) {
            super(validator, listener, leaderTerm);
        }

        @Override
        public Object runOperation(long commitIndex, Object operation) {
            if (operation instanceof LogOperation.Proposal && ++seen == 11) {
                return null;
            }
            return super.runOperation(commitIndex, operation);
        }
    }

    /** Applies a retry again, as it takes each idempotency key for a new one. */
    private static final class ForgetfulStateMachine extends ConfigurationStateMachine {
        ForgetfulStateMachine(ChangeValidator validator, CommittedChangeListener listener, LongSupplier leaderTerm) {
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

    private static SimulatedCluster cluster(SimulatedMachine.StateMachines planted, int plantedMachines) {
        SimulatedCluster cluster = new SimulatedCluster(5, 1, 1_000);
        cluster.machines.stream().limit(plantedMachines).forEach(machine -> machine.stateMachines = planted);
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
        SimulatedCluster cluster = cluster(ForgetfulStateMachine::new, 5);
        SimulatedMachine leader = cluster.awaitLeader();
        ConfigurationChange change = cluster.randomChange(leader.node.current().version());
        cluster.propose(leader, change);
        cluster.runFor(Duration.ofSeconds(1));
        cluster.propose(leader, change);
        assertThat(cluster.recoverAndCheck(RECOVERY_TIME))
                .anyMatch(violation -> violation.contains("was applied at 1 and 2"));
    }

    /** A leader that reports a change when it is proposed, before the others store it. */
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

    /** Disks that lose what they acknowledged. */
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

    /** Why a wiped disk must not vote under its old identity: the majority that stored a change can be lost. */
    @Test
    void wipedDiskThatVotesUnderItsOldIdentityIsDetected() {
        SimulatedCluster cluster = cluster(ConfigurationStateMachine::new, 5);
        List<SimulatedMachine> holders = cluster.machines.subList(0, 3);
        List<SimulatedMachine> restartedLater = cluster.machines.subList(3, 5);
        cluster.runFor(Duration.ofSeconds(3));
        restartedLater.forEach(SimulatedMachine::kill);
        commit(cluster, 5);
        holders.forEach(SimulatedMachine::kill);
        holders.get(0).disk.wipe();
        restartedLater.forEach(cluster::start);
        cluster.start(holders.get(0));
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
