package sandstack.configuration.consensus;

import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RestoredRaftState;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import sandstack.configuration.BoundedReader;
import sandstack.configuration.MalformedConfigurationException;

/** Decodes the records of a store; rejects damaged or inconsistent ones with a message of one line. Not thread-safe. */
final class StoredRaftState {
    /** Decodes a record from its bytes, after the checksum was verified. */
    private interface ValueReader<T> {
        T read(BoundedReader in) throws MalformedConfigurationException;
    }

    private final RaftModelFactory models = new DefaultRaftModelFactory();
    private final String file;
    private final RaftRecordCodec codec;
    private final Map<String, byte[]> header;
    private final Map<Long, byte[]> log;
    private final Map<Long, byte[]> snapshotChunks;

    StoredRaftState(
            String file,
            RaftRecordCodec codec,
            Map<String, byte[]> header,
            Map<Long, byte[]> log,
            Map<Long, byte[]> snapshotChunks) {
        this.file = file;
        this.codec = codec;
        this.header = header;
        this.log = log;
        this.snapshotChunks = snapshotChunks;
    }

    long headerLong(String key) throws RejectedStoreException {
        return read(key, header.get(key), BoundedReader::readLong);
    }

    void requireText(String key, String expected) throws RejectedStoreException {
        String found = read(key, header.get(key), in -> in.readText(RaftMessageCodec.MAX_GROUP_BYTES));
        if (!found.equals(expected)) {
            throw new RejectedStoreException(
                    file + ": " + key + " is " + found + " on this disk, " + expected + " in the settings");
        }
    }

    /** Returns the term of a log entry; 0, which is the term of no entry, if it is damaged. */
    int termOf(long index, byte[] entry) {
        try {
            return read("log entry " + index, entry, codec::readLogEntry).getTerm();
        } catch (RejectedStoreException e) {
            return 0;
        }
    }

    /** Returns the state from which the Raft node resumes; empty if it has not completed its first start. */
    Optional<RestoredRaftState> restore() throws RejectedStoreException {
        if (!header.containsKey(EncodedRaftStore.LOCAL_ENDPOINT)) {
            return Optional.empty();
        }
        RaftEndpointPersistentState local = read(
                EncodedRaftStore.LOCAL_ENDPOINT, header.get(EncodedRaftStore.LOCAL_ENDPOINT), codec::readLocalEndpoint);
        if (!header.containsKey(EncodedRaftStore.INITIAL_MEMBERS) || !header.containsKey(EncodedRaftStore.TERM)) {
            return restoreUnstarted();
        }
        RaftGroupMembersView members = read(
                EncodedRaftStore.INITIAL_MEMBERS, header.get(EncodedRaftStore.INITIAL_MEMBERS), codec::readMembersView);
        RaftTermPersistentState term = read(EncodedRaftStore.TERM, header.get(EncodedRaftStore.TERM), codec::readTerm);
        Optional<SnapshotEntry> snapshot = restoreSnapshot();
        List<LogEntry> entries =
                restoreLog(snapshot.map(SnapshotEntry::getIndex).orElse(0L));
        // MicroRaft expects null where there is no snapshot
        return Optional.of(new RestoredRaftState(local, members, term, snapshot.orElse(null), entries));
    }

    /**
     * Returns empty for a node that was killed during its first start: it has neither voted nor acknowledged an entry,
     * so it may start as a new node. Rejects a store that has a term, log or snapshot without the records of a complete
     * start.
     */
    private Optional<RestoredRaftState> restoreUnstarted() throws RejectedStoreException {
        if (!log.isEmpty() || !snapshotChunks.isEmpty() || header.containsKey(EncodedRaftStore.TERM)) {
            throw new RejectedStoreException(
                    file + ": damaged: a term, log or snapshot without the records of a complete start");
        }
        return Optional.empty();
    }

    /** Returns the newest snapshot of which all chunks are stored. */
    private Optional<SnapshotEntry> restoreSnapshot() throws RejectedStoreException {
        TreeMap<Long, List<SnapshotChunk>> byIndex = new TreeMap<>();
        for (Map.Entry<Long, byte[]> entry : snapshotChunks.entrySet()) {
            SnapshotChunk chunk = read("snapshot chunk " + entry.getKey(), entry.getValue(), codec::readSnapshotChunk);
            byIndex.computeIfAbsent(chunk.getIndex(), index -> new ArrayList<>())
                    .add(chunk);
        }
        for (List<SnapshotChunk> chunks : byIndex.descendingMap().values()) {
            SnapshotChunk first = chunks.get(0);
            if (chunks.size() == first.getSnapshotChunkCount()) {
                return Optional.of(models.createSnapshotEntryBuilder()
                        .setIndex(first.getIndex())
                        .setTerm(first.getTerm())
                        .setSnapshotChunks(chunks)
                        .setGroupMembersView(first.getGroupMembersView())
                        .build());
            }
        }
        return Optional.empty();
    }

    private List<LogEntry> restoreLog(long snapshotIndex) throws RejectedStoreException {
        List<LogEntry> entries = new ArrayList<>();
        long expected = snapshotIndex + 1;
        for (Map.Entry<Long, byte[]> stored : log.entrySet()) {
            if (stored.getKey() <= snapshotIndex) {
                continue;
            }
            LogEntry entry = read("log entry " + stored.getKey(), stored.getValue(), codec::readLogEntry);
            if (entry.getIndex() != stored.getKey() || entry.getIndex() != expected) {
                throw new RejectedStoreException(
                        file + ": damaged: log entry " + entry.getIndex() + " where " + expected + " is expected");
            }
            expected++;
            entries.add(entry);
        }
        return entries;
    }

    private <T> T read(String recordName, byte[] wrapped, ValueReader<T> reader) throws RejectedStoreException {
        if (wrapped == null) {
            throw new RejectedStoreException(file + ": damaged: " + recordName + " is missing");
        }
        try {
            BoundedReader in = new BoundedReader(Checksummed.unwrap(wrapped));
            T value = reader.read(in);
            in.requireEnd();
            return value;
        } catch (MalformedConfigurationException e) {
            throw new RejectedStoreException(file + ": damaged: " + recordName + ": " + e.getMessage());
        }
    }
}
