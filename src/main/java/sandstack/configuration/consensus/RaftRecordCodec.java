package sandstack.configuration.consensus;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import sandstack.configuration.BoundedReader;
import sandstack.configuration.ConfigurationCodec;
import sandstack.configuration.ConfigurationLimits;
import sandstack.configuration.FieldWriter;
import sandstack.configuration.MalformedConfigurationException;

/**
 * Encodes and decodes the records that Raft stores and sends: log entries, snapshot chunks, members and terms. Decoding
 * rejects counts and lengths beyond their bounds. Immutable.
 */
final class RaftRecordCodec {
    /** Maximum number of members of a group, including learners and the members that a change in progress adds. */
    static final int MAX_MEMBERS = 16;
    /** Maximum number of chunks of a snapshot; also a factor of the stored {@link EncodedRaftStore#chunkKey}. */
    static final int MAX_SNAPSHOT_CHUNKS = 4_096;

    private static final int NEW_TERM = 1;
    private static final int PROPOSAL = 2;
    private static final int MEMBERS_CHANGE = 3;
    private static final int MIN_ENDPOINT_BYTES = Integer.BYTES;

    private final RaftModelFactory models = new DefaultRaftModelFactory();
    private final int maxChangeBytes;

    RaftRecordCodec(ConfigurationLimits limits) {
        maxChangeBytes = new ConfigurationCodec(limits).maxChangeBytes();
    }

    /** Returns an upper bound of the size of an encoded log entry or snapshot chunk, with the members it contains. */
    int maxRecordBytes() {
        int members = 4 * MAX_MEMBERS * (Integer.BYTES + ControlIdentity.MAX_CHARACTERS);
        return Math.max(maxChangeBytes, ConfigurationStateMachine.MAX_CHUNK_BYTES) + members + 128;
    }

    void write(FieldWriter out, LogEntry entry) {
        out.writeLong(entry.getIndex()).writeInt(entry.getTerm());
        writeOperation(out, entry.getOperation());
    }

    LogEntry readLogEntry(BoundedReader in) throws MalformedConfigurationException {
        return models.createLogEntryBuilder()
                .setIndex(in.readLong())
                .setTerm(in.readInt())
                .setOperation(readOperation(in))
                .build();
    }

    void write(FieldWriter out, SnapshotChunk chunk) {
        out.writeLong(chunk.getIndex())
                .writeInt(chunk.getTerm())
                .writeInt(chunk.getSnapshotChunkIndex())
                .writeInt(chunk.getSnapshotChunkCount())
                .writeBytes(((StateChunk) chunk.getOperation()).bytes());
        write(out, chunk.getGroupMembersView());
    }

    SnapshotChunk readSnapshotChunk(BoundedReader in) throws MalformedConfigurationException {
        SnapshotChunk.SnapshotChunkBuilder chunk =
                models.createSnapshotChunkBuilder().setIndex(in.readLong()).setTerm(in.readInt());
        int index = in.readInt();
        int count = in.readInt();
        if (count < 1 || count > MAX_SNAPSHOT_CHUNKS || index < 0 || index >= count) {
            throw new MalformedConfigurationException(
                    "snapshot chunk index " + index + " is invalid for a chunk count of " + count);
        }
        return chunk.setSnapshotChunkIndex(index)
                .setSnapshotChunkCount(count)
                .setOperation(new StateChunk(in.readBytes(ConfigurationStateMachine.MAX_CHUNK_BYTES)))
                .setGroupMembersView(readMembersView(in))
                .build();
    }

    void write(FieldWriter out, RaftGroupMembersView members) {
        out.writeLong(members.getLogIndex());
        writeEndpoints(out, members.getMembers());
        writeEndpoints(out, members.getVotingMembers());
    }

    RaftGroupMembersView readMembersView(BoundedReader in) throws MalformedConfigurationException {
        return models.createRaftGroupMembersViewBuilder()
                .setLogIndex(in.readLong())
                .setMembers(readEndpoints(in))
                .setVotingMembers(readEndpoints(in))
                .build();
    }

    void write(FieldWriter out, RaftTermPersistentState term) {
        out.writeInt(term.getTerm()).writeBoolean(term.getVotedFor() != null);
        if (term.getVotedFor() != null) {
            writeEndpoint(out, term.getVotedFor());
        }
    }

    RaftTermPersistentState readTerm(BoundedReader in) throws MalformedConfigurationException {
        RaftTermPersistentState.RaftTermPersistentStateBuilder term =
                models.createRaftTermPersistentStateBuilder().setTerm(in.readInt());
        return in.readBoolean() ? term.setVotedFor(readEndpoint(in)).build() : term.build();
    }

    void write(FieldWriter out, RaftEndpointPersistentState local) {
        writeEndpoint(out, local.getLocalEndpoint());
        out.writeBoolean(local.isVoting());
    }

    RaftEndpointPersistentState readLocalEndpoint(BoundedReader in) throws MalformedConfigurationException {
        return models.createRaftEndpointPersistentStateBuilder()
                .setLocalEndpoint(readEndpoint(in))
                .setVoting(in.readBoolean())
                .build();
    }

    void writeEndpoint(FieldWriter out, RaftEndpoint endpoint) {
        out.writeText(((ControlIdentity) endpoint).identity());
    }

    ControlIdentity readEndpoint(BoundedReader in) throws MalformedConfigurationException {
        String identity = in.readText(ControlIdentity.MAX_CHARACTERS);
        try {
            return new ControlIdentity(identity);
        } catch (IllegalArgumentException e) {
            throw new MalformedConfigurationException(
                    "an identity of " + identity.length() + " characters is malformed");
        }
    }

    void writeEndpoints(FieldWriter out, Collection<RaftEndpoint> endpoints) {
        out.writeInt(endpoints.size());
        endpoints.forEach(endpoint -> writeEndpoint(out, endpoint));
    }

    List<RaftEndpoint> readEndpoints(BoundedReader in) throws MalformedConfigurationException {
        int count = in.readCount(MAX_MEMBERS, MIN_ENDPOINT_BYTES);
        List<RaftEndpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            endpoints.add(readEndpoint(in));
        }
        return endpoints;
    }

    private void writeOperation(FieldWriter out, Object operation) {
        if (operation instanceof LogOperation.NewTerm newTerm) {
            out.writeByte(NEW_TERM).writeLong(newTerm.term());
        } else if (operation instanceof LogOperation.Proposal proposal) {
            out.writeByte(PROPOSAL)
                    .writeLong(proposal.key().high())
                    .writeLong(proposal.key().low())
                    .writeBytes(proposal.encodedChange());
        } else if (operation instanceof UpdateRaftGroupMembersOp change) {
            out.writeByte(MEMBERS_CHANGE);
            writeEndpoints(out, change.getMembers());
            writeEndpoints(out, change.getVotingMembers());
            writeEndpoint(out, change.getEndpoint());
            out.writeText(change.getMode().name());
        } else {
            throw new IllegalArgumentException("operation cannot be encoded: " + operation);
        }
    }

    private Object readOperation(BoundedReader in) throws MalformedConfigurationException {
        byte type = in.readByte();
        switch (type) {
            case NEW_TERM:
                return new LogOperation.NewTerm(in.readLong());
            case PROPOSAL:
                return new LogOperation.Proposal(
                        new IdempotencyKey(in.readLong(), in.readLong()), in.readBytes(maxChangeBytes));
            case MEMBERS_CHANGE:
                return models.createUpdateRaftGroupMembersOpBuilder()
                        .setMembers(readEndpoints(in))
                        .setVotingMembers(readEndpoints(in))
                        .setEndpoint(readEndpoint(in))
                        .setMode(readMode(in))
                        .build();
            default:
                throw new MalformedConfigurationException("operation type " + type + " is unknown");
        }
    }

    private static MembershipChangeMode readMode(BoundedReader in) throws MalformedConfigurationException {
        String name = in.readText(ControlIdentity.MAX_CHARACTERS);
        for (MembershipChangeMode mode : MembershipChangeMode.values()) {
            if (mode.name().equals(name)) {
                return mode;
            }
        }
        throw new MalformedConfigurationException(
                "a membership change has an unknown mode of " + name.length() + " characters");
    }
}
