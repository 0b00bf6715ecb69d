package sandstack.configuration.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import io.microraft.RaftEndpoint;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.RaftMessage;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks the detector, with a timeout of 4 s, on offers of a snapshot with and without a chunk. */
class SnapshotStallDetectorTest {
    private static final ControlIdentity LEADER = new ControlIdentity("control-1");
    private static final DefaultRaftModelFactory MODELS = new DefaultRaftModelFactory();
    private static final RaftGroupMembersView MEMBERS = MODELS.createRaftGroupMembersViewBuilder()
            .setLogIndex(0)
            .setMembers(List.<RaftEndpoint>of(LEADER))
            .setVotingMembers(List.<RaftEndpoint>of(LEADER))
            .build();

    private final SnapshotStallDetector detector = new SnapshotStallDetector(Duration.ofSeconds(4));

    private static RaftMessage offer(SnapshotChunk chunk) {
        return MODELS.createInstallSnapshotRequestBuilder()
                .setGroupId("group")
                .setSender(LEADER)
                .setTerm(1)
                .setSenderLeader(true)
                .setSnapshotTerm(1)
                .setSnapshotIndex(9)
                .setTotalSnapshotChunkCount(2)
                .setSnapshotChunk(chunk)
                .setSnapshottedMembers(List.<RaftEndpoint>of(LEADER))
                .setGroupMembersView(MEMBERS)
                .setQuerySequenceNumber(0)
                .setFlowControlSequenceNumber(0)
                .build();
    }

    private static SnapshotChunk chunk() {
        return MODELS.createSnapshotChunkBuilder()
                .setIndex(9)
                .setTerm(1)
                .setSnapshotChunkIndex(0)
                .setSnapshotChunkCount(2)
                .setOperation(new StateChunk(new byte[1]))
                .setGroupMembersView(MEMBERS)
                .build();
    }

    @Test
    void offersWithoutChunksAreAStallOnceInFourSeconds() {
        assertThat(detector.detectStall(offer(null), 1_000)).isFalse();
        assertThat(detector.detectStall(offer(null), 4_999)).isFalse();
        assertThat(detector.detectStall(offer(null), 5_000)).isTrue();
        assertThat(detector.detectStall(offer(null), 5_001)).isFalse();
        assertThat(detector.detectStall(offer(null), 9_001)).isTrue();
    }

    @Test
    void chunkCountsAsProgress() {
        assertThat(detector.detectStall(offer(null), 1_000)).isFalse();
        assertThat(detector.detectStall(offer(chunk()), 4_000)).isFalse();
        assertThat(detector.detectStall(offer(null), 5_000)).isFalse();
        assertThat(detector.detectStall(offer(null), 8_999)).isFalse();
    }
}
