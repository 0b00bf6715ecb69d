package sandstack.configuration.consensus;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.message.RaftMessage;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import sandstack.configuration.ConfigurationLimits;
import sandstack.configuration.MalformedConfigurationException;

/** Round trips of Raft messages, and the rejection of malformed frames with a message of one line. */
class RaftMessageCodecTest {
    private static final String GROUP = "configuration";
    private static final ControlIdentity SENDER = new ControlIdentity("control-1");
    private static final DefaultRaftModelFactory MODELS = new DefaultRaftModelFactory();
    private static final int TYPE_OFFSET = 0;

    private final RaftMessageCodec codec = new RaftMessageCodec(GROUP, ConfigurationLimits.DEFAULT);

    private static RaftGroupMembersView members() {
        return MODELS.createRaftGroupMembersViewBuilder()
                .setLogIndex(3)
                .setMembers(List.<RaftEndpoint>of(SENDER))
                .setVotingMembers(List.<RaftEndpoint>of(SENDER))
                .build();
    }

    private static List<LogEntry> entries() {
        Object membershipChange = MODELS.createUpdateRaftGroupMembersOpBuilder()
                .setMembers(List.<RaftEndpoint>of(SENDER))
                .setVotingMembers(List.<RaftEndpoint>of())
                .setEndpoint(SENDER)
                .setMode(MembershipChangeMode.ADD_LEARNER)
                .build();
        List<LogEntry> entries = new ArrayList<>();
        for (Object operation : List.of(
                new LogOperation.NewTerm(4),
                new LogOperation.Proposal(new IdempotencyKey(1, 2), new byte[300]),
                membershipChange)) {
            entries.add(MODELS.createLogEntryBuilder()
                    .setIndex(entries.size() + 8)
                    .setTerm(4)
                    .setOperation(operation)
                    .build());
        }
        return entries;
    }

    private static RaftMessage append(List<LogEntry> entries) {
        return MODELS.createAppendEntriesRequestBuilder()
                .setGroupId(GROUP)
                .setSender(SENDER)
                .setTerm(4)
                .setPreviousLogTerm(3)
                .setPreviousLogIndex(7)
                .setCommitIndex(6)
                .setLogEntries(entries)
                .setQuerySequenceNumber(1)
                .setFlowControlSequenceNumber(2)
                .build();
    }

    private static RaftMessage installSnapshot() {
        return MODELS.createInstallSnapshotRequestBuilder()
                .setGroupId(GROUP)
                .setSender(SENDER)
                .setTerm(4)
                .setSenderLeader(true)
                .setSnapshotTerm(3)
                .setSnapshotIndex(6)
                .setTotalSnapshotChunkCount(1)
                .setSnapshotChunk(MODELS.createSnapshotChunkBuilder()
                        .setIndex(6)
                        .setTerm(3)
                        .setSnapshotChunkIndex(0)
                        .setSnapshotChunkCount(1)
                        .setOperation(new StateChunk(new byte[100]))
                        .setGroupMembersView(members())
                        .build())
                .setSnapshottedMembers(List.<RaftEndpoint>of(SENDER))
                .setGroupMembersView(members())
                .setQuerySequenceNumber(1)
                .setFlowControlSequenceNumber(2)
                .build();
    }

    private static RaftMessage vote() {
        return MODELS.createVoteRequestBuilder()
                .setGroupId(GROUP)
                .setSender(SENDER)
                .setTerm(4)
                .setLastLogTerm(3)
                .setLastLogIndex(7)
                .setSticky(true)
                .build();
    }

    /** {@link RaftFixturesTest} covers all types; the simulated clusters also send every message through this codec. */
    @Example
    void roundTripPreservesMessages() throws MalformedConfigurationException {
        for (RaftMessage message : List.of(append(entries()), installSnapshot(), vote())) {
            RaftMessage decoded = codec.decode(codec.encode(message));
            assertThat(decoded.getClass()).isEqualTo(message.getClass());
            assertThat(codec.encode(decoded)).isEqualTo(codec.encode(message));
        }
    }

    @Property(tries = 2_000)
    void damagedFramesAreDecodedOrRejectedWithOneLine(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<RaftMessage> messages = List.of(append(entries()), installSnapshot(), vote());
        byte[] frame = codec.encode(messages.get(random.nextInt(messages.size())));
        for (int i = random.nextInt(4); i >= 0; i--) {
            frame[random.nextInt(frame.length)] = (byte) random.nextInt(256);
        }
        byte[] input = random.nextInt(3) == 0 ? Arrays.copyOf(frame, random.nextInt(frame.length)) : frame;
        try {
            codec.decode(input);
        } catch (MalformedConfigurationException e) {
            assertThat(e.getMessage().lines()).hasSize(1);
            assertThat(e.getMessage()).hasSizeLessThan(200);
        }
    }

    @Example
    void unknownTypesAndOtherGroupsAreRejected() {
        byte[] frame = codec.encode(vote());
        frame[TYPE_OFFSET] = 17;
        assertThatThrownBy(() -> codec.decode(frame))
                .isInstanceOf(MalformedConfigurationException.class)
                .hasMessage("message type 17 is unknown");
        byte[] other = new RaftMessageCodec("other", ConfigurationLimits.DEFAULT).encode(vote());
        // the first byte of the group's name, after the type and the length
        other[TYPE_OFFSET + 5] = 'x';
        assertThatThrownBy(() -> codec.decode(other)).hasMessage("a message of another group");
    }

    /** Neither a count of 2 billion, a length of 1 GB nor a frame of 60 MB makes the codec allocate memory for it. */
    @Example
    void oversizedCountsAndFramesAreRejectedBeforeAllocation() {
        byte[] frame = codec.encode(append(entries()));
        int countOffset = frame.length - 2 * Long.BYTES - encodedEntriesBytes() - Integer.BYTES;
        ByteBuffer.wrap(frame).putInt(countOffset, Integer.MAX_VALUE);
        assertThatThrownBy(() -> codec.decode(frame)).hasMessageContaining("a count of 2147483647");
        byte[] huge = new byte[60 << 20];
        assertThatThrownBy(() -> codec.decode(huge)).hasMessage("a message of 62914560 bytes");
        byte[] longName = codec.encode(vote());
        int senderOffset = 1 + Integer.BYTES + GROUP.getBytes(StandardCharsets.UTF_8).length;
        ByteBuffer.wrap(longName).putInt(senderOffset, 1 << 30);
        assertThatThrownBy(() -> codec.decode(longName)).hasMessageContaining("a count of 1073741824");
    }

    private int encodedEntriesBytes() {
        return codec.encode(append(entries())).length - codec.encode(append(List.of())).length;
    }
}
