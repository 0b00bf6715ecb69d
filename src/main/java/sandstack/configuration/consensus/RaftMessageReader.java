package sandstack.configuration.consensus;

import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.InstallSnapshotResponse;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;
import java.util.ArrayList;
import java.util.List;
import sandstack.configuration.BoundedReader;
import sandstack.configuration.MalformedConfigurationException;

/** Reads the fields of each message type. Counts and lengths are checked before memory is allocated for them. */
final class RaftMessageReader {
    private static final int MIN_ENTRY_BYTES = Long.BYTES + Integer.BYTES + Byte.BYTES;

    /** The fields that all message types have, besides type and group. */
    record Header(ControlIdentity sender, int term) {}

    private final RaftModelFactory models = new DefaultRaftModelFactory();
    private final RaftRecordCodec records;
    private final String group;

    /** Creates a reader; the group, which the caller has checked, is set in the messages that it returns. */
    RaftMessageReader(String group, RaftRecordCodec records) {
        this.group = group;
        this.records = records;
    }

    /** Reads the fields that follow the header, and returns the complete message. */
    RaftMessage readFields(BoundedReader in, RaftMessageType type, Header header)
            throws MalformedConfigurationException {
        return switch (type) {
            case APPEND_ENTRIES -> readAppendEntries(in, header);
            case APPEND_ENTRIES_SUCCESS -> readAppendEntriesSuccess(in, header);
            case APPEND_ENTRIES_FAILURE -> readAppendEntriesFailure(in, header);
            case INSTALL_SNAPSHOT -> readInstallSnapshot(in, header);
            case INSTALL_SNAPSHOT_RESPONSE -> readInstallSnapshotResponse(in, header);
            case PRE_VOTE -> readPreVote(in, header);
            case PRE_VOTE_RESPONSE -> readPreVoteResponse(in, header);
            case VOTE -> readVote(in, header);
            case VOTE_RESPONSE -> readVoteResponse(in, header);
            case TRIGGER_LEADER_ELECTION -> readTriggerLeaderElection(in, header);
        };
    }

    private AppendEntriesRequest readAppendEntries(BoundedReader in, Header header)
            throws MalformedConfigurationException {
        AppendEntriesRequest.AppendEntriesRequestBuilder request = models.createAppendEntriesRequestBuilder()
                .setGroupId(group)
                .setSender(header.sender())
                .setTerm(header.term())
                .setPreviousLogTerm(in.readInt())
                .setPreviousLogIndex(in.readLong())
                .setCommitIndex(in.readLong());
        int count = in.readCount(ControlNodeSettings.MAX_ENTRIES_PER_MESSAGE, MIN_ENTRY_BYTES);
        List<LogEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(records.readLogEntry(in));
        }
        return request.setLogEntries(entries)
                .setQuerySequenceNumber(in.readLong())
                .setFlowControlSequenceNumber(in.readLong())
                .build();
    }

    private AppendEntriesSuccessResponse readAppendEntriesSuccess(BoundedReader in, Header header)
            throws MalformedConfigurationException {
        return models.createAppendEntriesSuccessResponseBuilder()
                .setGroupId(group)
                .setSender(header.sender())
                .setTerm(header.term())
                .setLastLogIndex(in.readLong())
                .setQuerySequenceNumber(in.readLong())
                .setFlowControlSequenceNumber(in.readLong())
                .build();
    }

    private AppendEntriesFailureResponse readAppendEntriesFailure(BoundedReader in, Header header)
            throws MalformedConfigurationException {
        return models.createAppendEntriesFailureResponseBuilder()
                .setGroupId(group)
                .setSender(header.sender())
                .setTerm(header.term())
                .setExpectedNextIndex(in.readLong())
                .setQuerySequenceNumber(in.readLong())
                .setFlowControlSequenceNumber(in.readLong())
                .build();
    }

    private InstallSnapshotResponse readInstallSnapshotResponse(BoundedReader in, Header header)
            throws MalformedConfigurationException {
        return models.createInstallSnapshotResponseBuilder()
                .setGroupId(group)
                .setSender(header.sender())
                .setTerm(header.term())
                .setSnapshotIndex(in.readLong())
                .setRequestedSnapshotChunkIndex(in.readInt())
                .setQuerySequenceNumber(in.readLong())
                .setFlowControlSequenceNumber(in.readLong())
                .build();
    }

    private PreVoteRequest readPreVote(BoundedReader in, Header header) throws MalformedConfigurationException {
        return models.createPreVoteRequestBuilder()
                .setGroupId(group)
                .setSender(header.sender())
                .setTerm(header.term())
                .setLastLogTerm(in.readInt())
                .setLastLogIndex(in.readLong())
                .build();
    }

    private PreVoteResponse readPreVoteResponse(BoundedReader in, Header header)
            throws MalformedConfigurationException {
        return models.createPreVoteResponseBuilder()
                .setGroupId(group)
                .setSender(header.sender())
                .setTerm(header.term())
                .setGranted(in.readBoolean())
                .build();
    }

    private VoteRequest readVote(BoundedReader in, Header header) throws MalformedConfigurationException {
        return models.createVoteRequestBuilder()
                .setGroupId(group)
                .setSender(header.sender())
                .setTerm(header.term())
                .setLastLogTerm(in.readInt())
                .setLastLogIndex(in.readLong())
                .setSticky(in.readBoolean())
                .build();
    }

    private VoteResponse readVoteResponse(BoundedReader in, Header header) throws MalformedConfigurationException {
        return models.createVoteResponseBuilder()
                .setGroupId(group)
                .setSender(header.sender())
                .setTerm(header.term())
                .setGranted(in.readBoolean())
                .build();
    }

    private TriggerLeaderElectionRequest readTriggerLeaderElection(BoundedReader in, Header header)
            throws MalformedConfigurationException {
        return models.createTriggerLeaderElectionRequestBuilder()
                .setGroupId(group)
                .setSender(header.sender())
                .setTerm(header.term())
                .setLastLogTerm(in.readInt())
                .setLastLogIndex(in.readLong())
                .build();
    }

    private InstallSnapshotRequest readInstallSnapshot(BoundedReader in, Header header)
            throws MalformedConfigurationException {
        InstallSnapshotRequest.InstallSnapshotRequestBuilder request = models.createInstallSnapshotRequestBuilder()
                .setGroupId(group)
                .setSender(header.sender())
                .setTerm(header.term())
                .setSenderLeader(in.readBoolean())
                .setSnapshotTerm(in.readInt())
                .setSnapshotIndex(in.readLong())
                .setTotalSnapshotChunkCount(readChunkCount(in));
        if (in.readBoolean()) {
            request.setSnapshotChunk(records.readSnapshotChunk(in));
        }
        return request.setSnapshottedMembers(records.readEndpoints(in))
                .setGroupMembersView(records.readMembersView(in))
                .setQuerySequenceNumber(in.readLong())
                .setFlowControlSequenceNumber(in.readLong())
                .build();
    }

    private static int readChunkCount(BoundedReader in) throws MalformedConfigurationException {
        int count = in.readInt();
        if (count < 0 || count > RaftRecordCodec.MAX_SNAPSHOT_CHUNKS) {
            throw new MalformedConfigurationException(
                    "a snapshot of " + count + " chunks, the maximum is " + RaftRecordCodec.MAX_SNAPSHOT_CHUNKS);
        }
        return count;
    }
}
