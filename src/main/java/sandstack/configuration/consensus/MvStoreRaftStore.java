package sandstack.configuration.consensus;

import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;
import org.h2.mvstore.type.ByteArrayDataType;
import org.h2.mvstore.type.DataType;
import org.h2.mvstore.type.LongDataType;
import org.h2.mvstore.type.StringDataType;
import sandstack.configuration.ConfigurationLimits;
import sandstack.configuration.FieldWriter;

/**
 * Stores Raft's persistent state, and the identity to which the disk belongs, in one MVStore file. {@link #flush}
 * returns when the state is on disk. A second file ({@code .flushes}) counts the flushes: a store with fewer flushes
 * than were counted was truncated or rolled back, and is rejected, because votes and log entries that its machine
 * acknowledged may be missing from it. Not thread-safe; starts no thread.
 */
public final class MvStoreRaftStore extends EncodedRaftStore implements AutoCloseable {
    static final String FORMAT = "format";
    static final String GROUP = "group";
    static final String IDENTITY = "identity";
    static final String FLUSHES = "flushes";
    /** Version of the file layout that this release writes and reads. */
    static final long FORMAT_VERSION = 1;

    private static final int CACHE_MEGABYTES = 2;
    /**
     * Percentage of live data in the file's chunks below which MVStore rewrites some of them after space was released.
     */
    private static final int MIN_FILL_PERCENT = 50;

    private static final int COMPACTION_WRITE_BYTES = 4 << 20;

    private final String file;
    private final MVStore store;
    private final FlushCounter flushCounter;
    private final MVMap<String, byte[]> header;
    private final MVMap<Long, byte[]> log;
    private final MVMap<Long, byte[]> snapshotChunks;
    private boolean compactionDue;

    private MvStoreRaftStore(String file, ConfigurationLimits limits) {
        super(limits);
        this.file = file;
        store = new MVStore.Builder()
                .fileName(file)
                .autoCommitDisabled()
                .cacheSize(CACHE_MEGABYTES)
                .open();
        store.setVersionsToKeep(0);
        // each flush is synced before the next begins, so the space of replaced data may be reused at once
        store.setRetentionTime(0);
        flushCounter = new FlushCounter(file + ".flushes");
        header = openMap("header", StringDataType.INSTANCE);
        log = openMap("log", LongDataType.INSTANCE);
        snapshotChunks = openMap("chunks", LongDataType.INSTANCE);
    }

    private <K> MVMap<K, byte[]> openMap(String name, DataType<K> keys) {
        return store.openMap(name, new MVMap.Builder<K, byte[]>().keyType(keys).valueType(ByteArrayDataType.INSTANCE));
    }

    /**
     * Creates the store of a new identity; rejects a path at which a store or its flush count exists.
     *
     * @param newIdentitySetting key of the setting that permits a new store, for the error message
     */
    public static MvStoreRaftStore create(
            String file, String newIdentitySetting, String group, ControlIdentity self, ConfigurationLimits limits)
            throws IOException {
        if (StoreFiles.exists(file) || StoreFiles.exists(file + ".flushes")) {
            throw new RejectedStoreException(file + ": " + newIdentitySetting
                    + " permits a new store, but this file or its flush count exists: remove " + newIdentitySetting
                    + " from the settings");
        }
        MvStoreRaftStore created = open(file, limits);
        created.header.put(FORMAT, Checksummed.wrap(longBytes(FORMAT_VERSION)));
        created.header.put(GROUP, Checksummed.wrap(textBytes(group)));
        created.header.put(IDENTITY, Checksummed.wrap(textBytes(self.identity())));
        created.flush();
        return created;
    }

    /**
     * Opens the store of this identity; rejects a store that is missing, damaged, rolled back, or of another identity,
     * group or format version.
     *
     * @param newIdentitySetting key of the setting that permits a new store, for the error message
     */
    public static MvStoreRaftStore reopen(
            String file, String newIdentitySetting, String group, ControlIdentity self, ConfigurationLimits limits)
            throws IOException {
        if (!StoreFiles.exists(file)) {
            throw new RejectedStoreException(file + ": no store of " + self + ": a machine that lost its store needs a"
                    + " new identity, declared by " + newIdentitySetting + ", and admission to the group");
        }
        MvStoreRaftStore opened = open(file, limits);
        try {
            opened.requireIdentity(group, self);
            opened.requireNotRolledBack();
            return opened;
        } catch (RejectedStoreException e) {
            opened.closeImmediately();
            throw e;
        } catch (MVStoreException e) {
            opened.closeImmediately();
            throw new RejectedStoreException(file + ": damaged: " + firstLine(e));
        }
    }

    private static MvStoreRaftStore open(String file, ConfigurationLimits limits) throws RejectedStoreException {
        try {
            return new MvStoreRaftStore(file, limits);
        } catch (MVStoreException | IllegalArgumentException e) {
            throw new RejectedStoreException(file + ": damaged or in use: " + firstLine(e));
        }
    }

    private void requireIdentity(String group, ControlIdentity self) throws RejectedStoreException {
        StoredRaftState stored = storedState();
        long format = stored.headerLong(FORMAT);
        if (format != FORMAT_VERSION) {
            throw new RejectedStoreException(file + ": format " + format + ", this release reads " + FORMAT_VERSION);
        }
        stored.requireText(GROUP, group);
        stored.requireText(IDENTITY, self.identity());
    }

    private void requireNotRolledBack() throws RejectedStoreException {
        long flushes = storedState().headerLong(FLUSHES);
        long counted = flushCounter.readLastFlush(file);
        if (flushes < counted) {
            throw new RejectedStoreException(file + ": holds flush " + flushes + " but " + counted
                    + " were made: it was truncated or rolled back; its machine needs a new identity");
        }
        flushCounter.resumeFrom(flushes);
    }

    @Override
    public Optional<RestoredRaftState> restore() throws IOException {
        try {
            return super.restore();
        } catch (MVStoreException e) {
            throw new RejectedStoreException(file + ": damaged: " + firstLine(e));
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
        return snapshotChunks;
    }

    @Override
    void spaceReleased() {
        compactionDue = true;
    }

    @Override
    String name() {
        return file;
    }

    @Override
    public void flush() throws IOException {
        try {
            long flushes = flushCounter.nextFlush();
            header.put(FLUSHES, Checksummed.wrap(longBytes(flushes)));
            store.commit();
            store.sync();
            flushCounter.writeFlush(flushes);
            if (compactionDue) {
                compactionDue = false;
                store.compact(MIN_FILL_PERCENT, COMPACTION_WRITE_BYTES);
                store.sync();
            }
        } catch (MVStoreException e) {
            throw new IOException(file + ": Raft's state could not be flushed: " + firstLine(e), e);
        }
    }

    @Override
    public void close() {
        store.close();
        flushCounter.close();
    }

    /** Closes the file as a killed process does: unflushed changes are lost. */
    void closeImmediately() {
        store.closeImmediately();
        flushCounter.close();
    }

    static byte[] longBytes(long value) {
        return new FieldWriter().writeLong(value).toBytes();
    }

    private static byte[] textBytes(String text) {
        return new FieldWriter().writeText(text).toBytes();
    }

    private static String firstLine(Exception e) {
        return String.valueOf(e.getMessage()).lines().findFirst().orElse("");
    }
}
