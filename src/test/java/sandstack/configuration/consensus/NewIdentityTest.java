package sandstack.configuration.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import io.microraft.MembershipChangeMode;
import io.microraft.report.RaftGroupMembers;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** A machine whose disk is lost comes back under a new identity, admitted by the others; the old one goes. */
class NewIdentityTest {
    private static final Duration RECOVERY_TIME = Duration.ofSeconds(16);
    private static final int SNAPSHOT_INTERVAL_ENTRIES = 20;

    private static RaftGroupMembers change(
            SimulatedCluster cluster, ControlIdentity machine, MembershipChangeMode mode) {
        SimulatedMachine leader = cluster.awaitLeader();
        long seen = leader.node.members().getLogIndex();
        CompletableFuture<RaftGroupMembers> change =
                leader.node.changeMembership(machine, mode, seen).toCompletableFuture();
        cluster.runFor(Duration.ofSeconds(4));
        assertThat(change).isCompleted();
        return change.join();
    }

    private static void commit(SimulatedCluster cluster, int changes) {
        for (int i = 0; i < changes; i++) {
            assertThat(cluster.commitChange().outcome).isInstanceOf(ProposalOutcome.Committed.class);
        }
    }

    @Test
    void newIdentityReplacesTheOldOneAndCatchesUp() {
        SimulatedCluster cluster = new SimulatedCluster(5, 3, SNAPSHOT_INTERVAL_ENTRIES);
        cluster.startAll();
        commit(cluster, 45);
        SimulatedMachine lost = cluster.machines.get(0);
        lost.kill();
        cluster.machines.remove(lost);

        SimulatedMachine fresh = cluster.add("control-0b", 0);
        cluster.start(fresh);
        cluster.runFor(Duration.ofSeconds(30));
        assertThat(fresh.node.current().version().index()).isZero();

        RaftGroupMembers without = change(cluster, lost.identity, MembershipChangeMode.REMOVE_MEMBER);
        assertThat(without.getVotingMembers()).hasSize(4);
        change(cluster, fresh.identity, MembershipChangeMode.ADD_LEARNER);
        RaftGroupMembers with = change(cluster, fresh.identity, MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER);
        assertThat(with.getVotingMembers()).hasSize(5).contains(fresh.identity);
        commit(cluster, 5);
        assertThat(cluster.recoverAndCheck(RECOVERY_TIME)).isEmpty();
        assertThat(fresh.node.current().version().index()).isEqualTo(50);
    }

    /** It does not know the members yet and must not unseat who leads. */
    @Test
    void machineThatIsNoMemberDisruptsNothing() {
        SimulatedCluster cluster = new SimulatedCluster(5, 4, SNAPSHOT_INTERVAL_ENTRIES);
        cluster.startAll();
        commit(cluster, 5);
        SimulatedMachine leader = cluster.awaitLeader();
        long term = leader.node.currentTerm();
        SimulatedMachine stranger = cluster.add("stranger", 1);
        cluster.start(stranger);
        cluster.runFor(Duration.ofSeconds(60));
        assertThat(cluster.awaitLeader()).isSameAs(leader);
        assertThat(leader.node.currentTerm()).isEqualTo(term);
        assertThat(leader.node.members().getVotingMembers()).hasSize(5).doesNotContain(stranger.identity);
        cluster.machines.remove(stranger);
        stranger.kill();
        commit(cluster, 5);
        assertThat(cluster.recoverAndCheck(RECOVERY_TIME)).isEmpty();
    }
}
