package sandstack.configuration.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import io.microraft.MembershipChangeMode;
import io.microraft.report.RaftGroupMembers;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** A machine that lost its disk rejoins under a new identity, and the old identity is removed from the group. */
class NewIdentityTest {
    private static final Duration RECOVERY_TIME = Duration.ofSeconds(16);
    private static final int SNAPSHOT_INTERVAL_ENTRIES = 20;

    private static RaftGroupMembers change(
            SimulatedCluster cluster, ControlIdentity machine, MembershipChangeMode mode) {
        SimulatedMachine leader = cluster.awaitLeader();
        long membersLogIndex = leader.node.members().getLogIndex();
        CompletableFuture<RaftGroupMembers> change =
                leader.node.changeMembership(machine, mode, membersLogIndex).toCompletableFuture();
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
        SimulatedMachine replaced = cluster.machines.get(0);
        replaced.kill();
        cluster.machines.remove(replaced);

        SimulatedMachine replacement = cluster.add("control-0b", 0);
        cluster.start(replacement);
        cluster.runFor(Duration.ofSeconds(30));
        assertThat(replacement.node.current().version().index()).isZero();

        RaftGroupMembers afterRemoval = change(cluster, replaced.identity, MembershipChangeMode.REMOVE_MEMBER);
        assertThat(afterRemoval.getVotingMembers()).hasSize(4);
        change(cluster, replacement.identity, MembershipChangeMode.ADD_LEARNER);
        RaftGroupMembers afterPromotion =
                change(cluster, replacement.identity, MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER);
        assertThat(afterPromotion.getVotingMembers()).hasSize(5).contains(replacement.identity);
        commit(cluster, 5);
        assertThat(cluster.recoverAndCheck(RECOVERY_TIME)).isEmpty();
        assertThat(replacement.node.current().version().index()).isEqualTo(50);
    }

    /** A machine that is not a member sends pre-vote requests, which must not disrupt the leader. */
    @Test
    void machineThatIsNoMemberDisruptsNothing() {
        SimulatedCluster cluster = new SimulatedCluster(5, 4, SNAPSHOT_INTERVAL_ENTRIES);
        cluster.startAll();
        commit(cluster, 5);
        SimulatedMachine leader = cluster.awaitLeader();
        long term = leader.node.currentTerm();
        SimulatedMachine nonMember = cluster.add("non-member", 1);
        cluster.start(nonMember);
        cluster.runFor(Duration.ofSeconds(60));
        assertThat(cluster.awaitLeader()).isSameAs(leader);
        assertThat(leader.node.currentTerm()).isEqualTo(term);
        assertThat(leader.node.members().getVotingMembers()).hasSize(5).doesNotContain(nonMember.identity);
        cluster.machines.remove(nonMember);
        nonMember.kill();
        commit(cluster, 5);
        assertThat(cluster.recoverAndCheck(RECOVERY_TIME)).isEmpty();
    }
}
