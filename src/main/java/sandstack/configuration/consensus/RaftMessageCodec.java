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
import sandstack.configuration.ConfigurationLimits;
import sandstack.configuration.FieldWriter;
import sandstack.configuration.MalformedConfigurationException;

/**
 * The binary form of the messages between control machines: a type, the group, the sender, the term, and the fields of
 * the type. A frame of another group, of an unknown type or beyond the bounds is refused with one line.
 */
final class RaftMessageCodec {
    private static final int APPEND_ENTRIES = 1;
    private static final int APPEND_SUCCESS = 2;
    private static final int APPEND_FAILURE = 3;
    private static final int INSTALL_SNAPSHOT = 4;
    private static final int INSTALL_RESPONSE = 5;
    private static final int PRE_VOTE = 6;
    private static final int PRE_VOTE_RESPONSE = 7;
    private static final int VOTE = 8;
    private static final int VOTE_RESPONSE = 9;
    private static final int TRIGGER_ELECTION = 10;
    /** The longest name of a group. */
    static final int MAX_GROUP_BYTES = 128;

    private static final int MIN_ENTRY_BYTES = Long.BYTES + Integer.BYTES + Byte.BYTES;
    private static final int MAX_HEADER_BYTES = 512;

    /** What every message has. */
    private record Header(ControlIdentity sender, int term) {}

    private final RaftModelFactory models = new DefaultRaftModelFactory();
    private final RaftRecordCodec records;
    private final String group;

    /** Takes messages of this group only. */
    RaftMessageCodec(String group, ConfigurationLimits limits) {
        this.group = group;
        this.records = new RaftRecordCodec(limits);
    }

    /** The longest frame that is read. */
    int maxMessageBytes() {
        return MAX_HEADER_BYTES + ControlNodeSettings.MAX_ENTRIES_PER_MESSAGE * records.maxRecordBytes();
    }

    byte[] encode(RaftMessage message) {
        FieldWriter out = new FieldWriter();
        out.writeByte(typeOf(message)).writeText((String) message.getGroupId());
        records.writeEndpoint(out, message.getSender());
        out.writeInt(message.getTerm());
        writeFields(out, message);
        return out.toBytes();
    }

    RaftMessage decode(byte[] frame) throws MalformedConfigurationException {
        if (frame.length > maxMessageBytes()) {
            throw new MalformedConfigurationException("a message of " + frame.length + " bytes");
        }
        BoundedReader in = new BoundedReader(frame);
        byte type = in.readByte();
        if (!in.readText(MAX_GROUP_BYTES).equals(group)) {
            throw new MalformedConfigurationException("a message of another group");
        }
        Header header = new Header(records.readEndpoint(in), in.readInt());
        RaftMessage message = readFields(in, type, header).build();
        in.requireEnd();
        return message;
    }

    private static int typeOf(RaftMessage message) {
        if (message instanceof AppendEntriesRequest) {
            return APPEND_ENTRIES;
        } else if (message instanceof AppendEntriesSuccessResponse) {
            return APPEND_SUCCESS;
        } else if (message instanceof AppendEntriesFailureResponse) {
            return APPEND_FAILURE;
        } else if (message instanceof InstallSnapshotRequest) {
            return INSTALL_SNAPSHOT;
        } else if (message instanceof InstallSnapshotResponse) {
            return INSTALL_RESPONSE;
        } else if (message instanceof PreVoteRequest) {
            return PRE_VOTE;
        } else if (message instanceof PreVoteResponse) {
            return PRE_VOTE_RESPONSE;
        } else if (message instanceof VoteRequest) {
            return VOTE;
        } else if (message instanceof VoteResponse) {
            return VOTE_RESPONSE;
        } else if (message instanceof TriggerLeaderElectionRequest) {
            return TRIGGER_ELECTION;
        }
        throw new IllegalArgumentException("a message that cannot be sent: " + message.getClass());
    }

    private void writeFields(FieldWriter out, RaftMessage message) {
        if (message instanceof AppendEntriesRequest request) {
            writeAppendEntries(out, request);
        } else if (message instanceof AppendEntriesSuccessResponse response) {
            out.writeLong(response.getLastLogIndex());
            writeSequences(out, response.getQuerySequenceNumber(), response.getFlowControlSequenceNumber());
        } else if (message instanceof AppendEntriesFailureResponse response) {
            out.writeLong(response.getExpectedNextIndex());
            writeSequences(out, response.getQuerySequenceNumber(), response.getFlowControlSequenceNumber());
        } else if (message instanceof InstallSnapshotRequest request) {
            writeInstallSnapshot(out, request);
        } else if (message instanceof InstallSnapshotResponse response) {
            out.writeLong(response.getSnapshotIndex()).writeInt(response.getRequestedSnapshotChunkIndex());
            writeSequences(out, response.getQuerySequenceNumber(), response.getFlowControlSequenceNumber());
        } else if (message instanceof PreVoteRequest request) {
            out.writeInt(request.getLastLogTerm()).writeLong(request.getLastLogIndex());
        } else if (message instanceof PreVoteResponse response) {
            out.writeBoolean(response.isGranted());
        } else if (message instanceof VoteRequest request) {
            out.writeInt(request.getLastLogTerm())
                    .writeLong(request.getLastLogIndex())
                    .writeBoolean(request.isSticky());
        } else if (message instanceof VoteResponse response) {
            out.writeBoolean(response.isGranted());
        } else if (message instanceof TriggerLeaderElectionRequest request) {
            out.writeInt(request.getLastLogTerm()).writeLong(request.getLastLogIndex());
        }
    }

    private RaftMessage.RaftMessageBuilder<? extends RaftMessage> readFields(BoundedReader in, byte type, Header header)
            throws MalformedConfigurationException {
        switch (type) {
            case APPEND_ENTRIES:
                return readAppendEntries(in, header);
            case APPEND_SUCCESS:
                return models.createAppendEntriesSuccessResponseBuilder()
                        .setGroupId(group)
                        .setSender(header.sender())
                        .setTerm(header.term())
                        .setLastLogIndex(in.readLong())
                        .setQuerySequenceNumber(in.readLong())
                        .setFlowControlSequenceNumber(in.readLong());
            case APPEND_FAILURE:
                return models.createAppendEntriesFailureResponseBuilder()
                        .setGroupId(group)
                        .setSender(header.sender())
                        .setTerm(header.term())
                        .setExpectedNextIndex(in.readLong())
                        .setQuerySequenceNumber(in.readLong())
                        .setFlowControlSequenceNumber(in.readLong());
            case INSTALL_SNAPSHOT:
                return readInstallSnapshot(in, header);
            case INSTALL_RESPONSE:
                return models.createInstallSnapshotResponseBuilder()
                        .setGroupId(group)
                        .setSender(header.sender())
                        .setTerm(header.term())
                        .setSnapshotIndex(in.readLong())
                        .setRequestedSnapshotChunkIndex(in.readInt())
                        .setQuerySequenceNumber(in.readLong())
                        .setFlowControlSequenceNumber(in.readLong());
            case PRE_VOTE:
                return models.createPreVoteRequestBuilder()
                        .setGroupId(group)
                        .setSender(header.sender())
                        .setTerm(header.term())
                        .setLastLogTerm(in.readInt())
                        .setLastLogIndex(in.readLong());
            case PRE_VOTE_RESPONSE:
                return models.createPreVoteResponseBuilder()
                        .setGroupId(group)
                        .setSender(header.sender())
                        .setTerm(header.term())
                        .setGranted(in.readBoolean());
            case VOTE:
                return models.createVoteRequestBuilder()
                        .setGroupId(group)
                        .setSender(header.sender())
                        .setTerm(header.term())
                        .setLastLogTerm(in.readInt())
                        .setLastLogIndex(in.readLong())
                        .setSticky(in.readBoolean());
            case VOTE_RESPONSE:
                return models.createVoteResponseBuilder()
                        .setGroupId(group)
                        .setSender(header.sender())
                        .setTerm(header.term())
                        .setGranted(in.readBoolean());
            case TRIGGER_ELECTION:
                return models.createTriggerLeaderElectionRequestBuilder()
                        .setGroupId(group)
                        .setSender(header.sender())
                        .setTerm(header.term())
                        .setLastLogTerm(in.readInt())
                        .setLastLogIndex(in.readLong());
            default:
                throw new MalformedConfigurationException("message type " + type + " is unknown");
        }
    }

    private void writeAppendEntries(FieldWriter out, AppendEntriesRequest request) {
        out.writeInt(request.getPreviousLogTerm())
                .writeLong(request.getPreviousLogIndex())
                .writeLong(request.getCommitIndex())
                .writeInt(request.getLogEntries().size());
        request.getLogEntries().forEach(entry -> records.write(out, entry));
        writeSequences(out, request.getQuerySequenceNumber(), request.getFlowControlSequenceNumber());
    }

    private RaftMessage.RaftMessageBuilder<AppendEntriesRequest> readAppendEntries(BoundedReader in, Header header)
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
                .setFlowControlSequenceNumber(in.readLong());
    }

    private void writeInstallSnapshot(FieldWriter out, InstallSnapshotRequest request) {
        out.writeBoolean(request.isSenderLeader())
                .writeInt(request.getSnapshotTerm())
                .writeLong(request.getSnapshotIndex())
                .writeInt(request.getTotalSnapshotChunkCount())
                .writeBoolean(request.getSnapshotChunk() != null);
        if (request.getSnapshotChunk() != null) {
            records.write(out, request.getSnapshotChunk());
        }
        records.writeEndpoints(out, request.getSnapshottedMembers());
        records.write(out, request.getGroupMembersView());
        writeSequences(out, request.getQuerySequenceNumber(), request.getFlowControlSequenceNumber());
    }

    private RaftMessage.RaftMessageBuilder<InstallSnapshotRequest> readInstallSnapshot(BoundedReader in, Header header)
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
                .setFlowControlSequenceNumber(in.readLong());
    }

    private static int readChunkCount(BoundedReader in) throws MalformedConfigurationException {
        int count = in.readInt();
        if (count < 0 || count > RaftRecordCodec.MAX_SNAPSHOT_CHUNKS) {
            throw new MalformedConfigurationException("a snapshot of " + count + " chunks");
        }
        return count;
    }

    private static void writeSequences(FieldWriter out, long query, long flowControl) {
        out.writeLong(query).writeLong(flowControl);
    }
}
