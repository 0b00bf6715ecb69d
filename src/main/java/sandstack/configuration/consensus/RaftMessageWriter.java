package sandstack.configuration.consensus;

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
import sandstack.configuration.FieldWriter;

/** Writes the fields of each message type, in the order in which {@link RaftMessageReader} reads them. */
final class RaftMessageWriter {
    private final RaftRecordCodec records;

    RaftMessageWriter(RaftRecordCodec records) {
        this.records = records;
    }

    /** Writes the fields that follow the header. */
    void writeFields(FieldWriter out, RaftMessage message) {
        if (message instanceof AppendEntriesRequest request) {
            writeAppendEntries(out, request);
        } else if (message instanceof AppendEntriesSuccessResponse response) {
            out.writeLong(response.getLastLogIndex());
            writeSequenceNumbers(out, response.getQuerySequenceNumber(), response.getFlowControlSequenceNumber());
        } else if (message instanceof AppendEntriesFailureResponse response) {
            out.writeLong(response.getExpectedNextIndex());
            writeSequenceNumbers(out, response.getQuerySequenceNumber(), response.getFlowControlSequenceNumber());
        } else if (message instanceof InstallSnapshotRequest request) {
            writeInstallSnapshot(out, request);
        } else if (message instanceof InstallSnapshotResponse response) {
            out.writeLong(response.getSnapshotIndex()).writeInt(response.getRequestedSnapshotChunkIndex());
            writeSequenceNumbers(out, response.getQuerySequenceNumber(), response.getFlowControlSequenceNumber());
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

    private void writeAppendEntries(FieldWriter out, AppendEntriesRequest request) {
        out.writeInt(request.getPreviousLogTerm())
                .writeLong(request.getPreviousLogIndex())
                .writeLong(request.getCommitIndex())
                .writeInt(request.getLogEntries().size());
        request.getLogEntries().forEach(entry -> records.write(out, entry));
        writeSequenceNumbers(out, request.getQuerySequenceNumber(), request.getFlowControlSequenceNumber());
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
        writeSequenceNumbers(out, request.getQuerySequenceNumber(), request.getFlowControlSequenceNumber());
    }

    private static void writeSequenceNumbers(FieldWriter out, long query, long flowControl) {
        out.writeLong(query).writeLong(flowControl);
    }
}
