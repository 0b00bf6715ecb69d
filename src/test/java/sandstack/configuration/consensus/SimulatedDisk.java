package sandstack.configuration.consensus;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import sandstack.configuration.CommittedChange;
import sandstack.configuration.ConfigurationCodec;
import sandstack.configuration.ConfigurationLimits;

/** An in-memory store; after a crash it holds the state of the last flush. */
final class SimulatedDisk extends EncodedRaftStore {
    private final String name;
    private TreeMap<String, byte[]> header = new TreeMap<>();
    private TreeMap<Long, byte[]> log = new TreeMap<>();
    private TreeMap<Long, byte[]> chunks = new TreeMap<>();
    private Map<String, byte[]> durableHeader = new TreeMap<>();
    private Map<Long, byte[]> durableLog = new TreeMap<>();
    private Map<Long, byte[]> durableChunks = new TreeMap<>();
    private boolean losesFlushes;
    long flushes;
    int maxLogEntries;
    /** Whether {@link #maxBytes} is updated; off by default, as this reads all values at each flush. */
    boolean countsBytes;

    long maxBytes;

    SimulatedDisk(String name) {
        super(ConfigurationLimits.DEFAULT);
        this.name = name;
    }

    /** Injects a fault: state that is flushed after this call is lost in a crash. */
    void loseFlushes() {
        losesFlushes = true;
    }

    void wipe() {
        durableHeader = new TreeMap<>();
        durableLog = new TreeMap<>();
        durableChunks = new TreeMap<>();
        crash();
    }

    void crash() {
        header = new TreeMap<>(durableHeader);
        log = new TreeMap<>(durableLog);
        chunks = new TreeMap<>(durableChunks);
    }

    /** Whether the flushed state holds this change, as a log entry of its term or in the snapshot. */
    boolean stores(CommittedChange change) {
        return stores(durableState(), change);
    }

    /** Whether a store holds this change, flushed or not. */
    static boolean stores(EncodedRaftStore store, CommittedChange change) {
        try {
            return stores(store.restore(), change);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static boolean stores(Optional<RestoredRaftState> state, CommittedChange change) {
        return state.isPresent()
                && (inLog(state.get().getLogEntries(), change)
                        || snapshotIndex(state.get().getSnapshotEntry())
                                >= change.version().index());
    }

    private Optional<RestoredRaftState> durableState() {
        try {
            RaftRecordCodec codec = new RaftRecordCodec(ConfigurationLimits.DEFAULT);
            return new StoredRaftState(name, codec, durableHeader, durableLog, durableChunks).restore();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static boolean inLog(List<LogEntry> entries, CommittedChange change) {
        byte[] encoded = new ConfigurationCodec(ConfigurationLimits.DEFAULT).encode(change.change());
        return entries.stream()
                .anyMatch(entry -> entry.getTerm() == change.version().term()
                        && entry.getOperation() instanceof LogOperation.Proposal proposal
                        && Arrays.equals(proposal.encodedChange(), encoded));
    }

    private static long snapshotIndex(SnapshotEntry snapshot) {
        if (snapshot == null) {
            return 0;
        }
        ConfigurationStateMachine state =
                new ConfigurationStateMachine(SimulatedMachine.VALIDATOR, new IgnoringListener(), () -> 0);
        List<Object> stateChunks = new ArrayList<>();
        ((List<?>) snapshot.getOperation()).forEach(chunk -> stateChunks.add(((SnapshotChunk) chunk).getOperation()));
        state.installSnapshot(snapshot.getIndex(), stateChunks);
        return state.current().version().index();
    }

    private static long sizeOf(Map<?, byte[]> map) {
        return map.values().stream().mapToLong(value -> value.length).sum();
    }

    @Override
    public void flush() {
        flushes++;
        maxLogEntries = Math.max(maxLogEntries, log.size());
        if (countsBytes) {
            maxBytes = Math.max(maxBytes, sizeOf(header) + sizeOf(log) + sizeOf(chunks));
        }
        if (!losesFlushes) {
            durableHeader = new TreeMap<>(header);
            durableLog = new TreeMap<>(log);
            durableChunks = new TreeMap<>(chunks);
        }
    }

    @Override
    Map<String, byte[]> header() {
        return header;
    }

    @Override
    Map<Long, byte[]> log() {
        return log;
    }

    @Override
    Map<Long, byte[]> snapshotChunks() {
        return chunks;
    }

    @Override
    void spaceReleased() {
        // memory needs no compaction
    }

    @Override
    String name() {
        return name;
    }
}
