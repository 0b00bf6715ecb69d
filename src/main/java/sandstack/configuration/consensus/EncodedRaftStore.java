package sandstack.configuration.consensus;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.LongPredicate;
import sandstack.configuration.ConfigurationLimits;
import sandstack.configuration.FieldWriter;

/**
 * Keeps Raft's persistent state (term, vote, log and snapshot, figure 2 of the Raft paper) in three sorted maps, whose
 * values are encoded and carry checksums; subclasses flush the maps to a disk. Called on the Raft node's thread.
 */
abstract class EncodedRaftStore implements RaftStore {
    static final String LOCAL_ENDPOINT = "local-endpoint";
    static final String INITIAL_MEMBERS = "initial-members";
    static final String TERM = "term";

    private final RaftRecordCodec codec;

    EncodedRaftStore(ConfigurationLimits limits) {
        codec = new RaftRecordCodec(limits);
    }

    /** Returns the records that exist once (such as the members and the term), by name. */
    abstract Map<String, byte[]> header();

    /** Returns the encoded log entries by index, in ascending order. */
    abstract Map<Long, byte[]> log();

    /** Returns the encoded snapshot chunks by {@link #chunkKey}, in ascending order. */
    abstract Map<Long, byte[]> snapshotChunks();

    /**
     * Called after the log was truncated at its start or snapshot chunks were removed, so that their space on disk can
     * be reclaimed.
     */
    abstract void spaceReleased();

    /** Returns the name of the store for error messages. */
    abstract String name();

    /** Returns the state from which the Raft node resumes; empty if it has not completed its first start. */
    public Optional<RestoredRaftState> restore() throws IOException {
        return storedState().restore();
    }

    /** Returns the index of the newest snapshot of which at least one chunk is stored; 0 if there is none. */
    final long snapshotIndex() {
        return snapshotChunks().keySet().stream()
                .mapToLong(key -> key / RaftRecordCodec.MAX_SNAPSHOT_CHUNKS)
                .max()
                .orElse(0);
    }

    /** Returns the term of the log entry with this index; empty if there is no such entry, 0 if it is damaged. */
    final OptionalInt termOfEntry(long index) {
        byte[] entry = log().get(index);
        return entry == null
                ? OptionalInt.empty()
                : OptionalInt.of(storedState().termOf(index, entry));
    }

    final StoredRaftState storedState() {
        return new StoredRaftState(name(), codec, header(), log(), snapshotChunks());
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState local) throws IOException {
        FieldWriter out = new FieldWriter();
        codec.write(out, local);
        put(header(), LOCAL_ENDPOINT, out);
        flush();
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
        FieldWriter out = new FieldWriter();
        codec.write(out, members);
        put(header(), INITIAL_MEMBERS, out);
        flush();
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState term) throws IOException {
        FieldWriter out = new FieldWriter();
        codec.write(out, term);
        put(header(), TERM, out);
        flush();
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) throws IOException {
        for (LogEntry entry : entries) {
            FieldWriter out = new FieldWriter();
            codec.write(out, entry);
            put(log(), entry.getIndex(), out);
        }
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        FieldWriter out = new FieldWriter();
        codec.write(out, chunk);
        put(snapshotChunks(), chunkKey(chunk.getIndex(), chunk.getSnapshotChunkIndex()), out);
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        removeEntriesWhere(key -> key >= index);
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        removeEntriesWhere(key -> key <= index);
        spaceReleased();
    }

    @Override
    public void deleteSnapshotChunks(long index, int chunkCount) throws IOException {
        for (int chunk = 0; chunk < chunkCount; chunk++) {
            snapshotChunks().remove(chunkKey(index, chunk));
        }
        spaceReleased();
    }

    static long chunkKey(long index, int chunk) {
        return index * RaftRecordCodec.MAX_SNAPSHOT_CHUNKS + chunk;
    }

    private void removeEntriesWhere(LongPredicate condition) {
        List<Long> keys = log().keySet().stream().filter(condition::test).toList();
        keys.forEach(log()::remove);
    }

    private static <K> void put(Map<K, byte[]> map, K key, FieldWriter value) {
        map.put(key, Checksummed.wrap(value.toBytes()));
    }
}
