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
 * The persistent state of Raft (term, vote, log and snapshot, figure 2 of the Raft paper), encoded and with checksums
 * in three sorted maps; subclasses flush the maps to a disk. Called on the Raft node's thread.
 */
abstract class EncodedRaftStore implements RaftStore {
    static final String LOCAL_ENDPOINT = "local-endpoint";
    static final String INITIAL_MEMBERS = "initial-members";
    static final String TERM = "term";

    private final RaftRecordCodec codec;

    EncodedRaftStore(ConfigurationLimits limits) {
        codec = new RaftRecordCodec(limits);
    }

    /** The values that exist once, by their name. */
    abstract Map<String, byte[]> header();

    /** The log entries by index, in order. */
    abstract Map<Long, byte[]> log();

    /** The snapshot chunks by {@link #chunkKey}, in order. */
    abstract Map<Long, byte[]> snapshotChunks();

    /** Entries or chunks were removed whose space on disk can be compacted. */
    abstract void spaceReleased();

    /** The name of the store in error messages. */
    abstract String name();

    /** What the store holds, for the Raft node to resume from; empty where the node never ran. */
    public Optional<RestoredRaftState> restore() throws IOException {
        return storedState().restore();
    }

    /** The index of the newest snapshot of which there is a chunk; 0 for none. */
    final long snapshotIndex() {
        return snapshotChunks().keySet().stream()
                .mapToLong(key -> key / RaftRecordCodec.MAX_SNAPSHOT_CHUNKS)
                .max()
                .orElse(0);
    }

    /** The term of an entry in the log; empty where there is none with this index. */
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
