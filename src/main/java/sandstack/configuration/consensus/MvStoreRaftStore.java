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
 * The persistent state of Raft in one MVStore file, with the identity that the disk belongs to. A flush returns when it
 * is on disk. Beside the file lies a flush count ({@code .flushes}): a file that is older than its count was truncated
 * or rolled back, and is rejected, as its machine would have forgotten votes and entries that it acknowledged. Not
 * thread-safe; starts no thread.
 */
public final class MvStoreRaftStore extends EncodedRaftStore implements AutoCloseable {
    static final String FORMAT = "format";
    static final String GROUP = "group";
    static final String IDENTITY = "identity";
    static final String FLUSHES = "flushes";
    /** The layout that this release writes and reads. */
    static final long FORMAT_VERSION = 1;

    private static final int CACHE_MEGABYTES = 2;
    /** Chunks of the file that are less full than this are rewritten after the log was compacted. */
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
        // each flush is synced before the next begins, so what it replaced may be overwritten
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
     * Creates the store of an identity that never had one; rejects a file that exists.
     *
     * @param newIdentitySetting the setting that permits it, named in the error message
     */
    public static MvStoreRaftStore create(
            String file, String newIdentitySetting, String group, ControlIdentity self, ConfigurationLimits limits)
            throws IOException {
        if (StoreFiles.exists(file) || StoreFiles.exists(file + ".flushes")) {
            throw new RejectedStoreException(file + ": " + newIdentitySetting
                    + " permits a new disk, but this file exists: remove " + newIdentitySetting + " from the settings");
        }
        MvStoreRaftStore created = open(file, limits);
        created.header.put(FORMAT, Checksummed.wrap(longBytes(FORMAT_VERSION)));
        created.header.put(GROUP, Checksummed.wrap(textBytes(group)));
        created.header.put(IDENTITY, Checksummed.wrap(textBytes(self.identity())));
        created.flush();
        return created;
    }

    /**
     * Opens the store of this identity; rejects one that is missing, of another machine, group or release, damaged or
     * rolled back.
     *
     * @param newIdentitySetting the setting that would permit a new store, named in the error message
     */
    public static MvStoreRaftStore reopen(
            String file, String newIdentitySetting, String group, ControlIdentity self, ConfigurationLimits limits)
            throws IOException {
        if (!StoreFiles.exists(file)) {
            throw new RejectedStoreException(file + ": no disk of " + self + ": a machine that lost it takes a new"
                    + " identity, states that as " + newIdentitySetting + " and is admitted by the others");
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
                    + " were made: it was truncated or set back; its machine takes a new identity");
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

    /** Closes the file as a killed process does: what was not flushed is lost. */
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
