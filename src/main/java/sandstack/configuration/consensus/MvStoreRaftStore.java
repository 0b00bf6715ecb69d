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
 * What Raft has to remember, in one MVStore file: whose disk this is, term and vote, log, snapshot. A flush returns when
 * the disk has it. Beside the file stands a flush count (`.flushes`): a file that is older than its count was truncated or
 * set back, and is refused, as its machine would have forgotten votes and entries that it acknowledged. One thread.
 */
public final class MvStoreRaftStore extends EncodedRaftStore implements AutoCloseable {
    static final String FORMAT = "format";
    static final String GROUP = "group";
    static final String IDENTITY = "identity";
    static final String FLUSHES = "flushes";
    /** The layout that this release writes and reads. */
    static final long FORMAT_VERSION = 1;

    private static final int CACHE_MEGABYTES = 2;
    /** Rewrites chunks of the file that are less full than this, after the log was cut. */
    private static final int LEAST_FILL_PERCENT = 50;

    private static final int COMPACTION_WRITE_BYTES = 4 << 20;

    private final String file;
    private final MVStore store;
    private final FlushCounter counter;
    private final MVMap<String, byte[]> header;
    private final MVMap<Long, byte[]> log;
    private final MVMap<Long, byte[]> chunks;
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
        counter = new FlushCounter(file + ".flushes");
        header = openMap("header", StringDataType.INSTANCE);
        log = openMap("log", LongDataType.INSTANCE);
        chunks = openMap("chunks", LongDataType.INSTANCE);
    }

    private <K> MVMap<K, byte[]> openMap(String name, DataType<K> keys) {
        return store.openMap(name, new MVMap.Builder<K, byte[]>().keyType(keys).valueType(ByteArrayDataType.INSTANCE));
    }

    /**
     * Founds a disk for an identity that never had one; refuses a file that exists.
     *
     * @param key the setting that permits it, named in the refusal
     */
    public static MvStoreRaftStore create(
            String file, String key, String group, ControlIdentity self, ConfigurationLimits limits)
            throws IOException {
        if (StoreFiles.exists(file) || StoreFiles.exists(file + ".flushes")) {
            throw new StoreRefusedException(file + ": " + key + " permits a new disk, but this file exists: remove "
                    + key + " from the settings");
        }
        MvStoreRaftStore created = open(file, limits);
        created.header.put(FORMAT, Checksummed.wrap(longBytes(FORMAT_VERSION)));
        created.header.put(GROUP, Checksummed.wrap(textBytes(group)));
        created.header.put(IDENTITY, Checksummed.wrap(textBytes(self.identity())));
        created.flush();
        return created;
    }

    /**
     * Opens the disk of this identity; refuses one that is missing, of another machine, group or release, damaged or
     * older than it was.
     *
     * @param key the setting that would permit a new disk, named in the refusal
     */
    public static MvStoreRaftStore reopen(
            String file, String key, String group, ControlIdentity self, ConfigurationLimits limits)
            throws IOException {
        if (!StoreFiles.exists(file)) {
            throw new StoreRefusedException(file + ": no disk of " + self + ": a machine that lost it takes a new"
                    + " identity, states that as " + key + " and is admitted by the others");
        }
        MvStoreRaftStore opened = open(file, limits);
        try {
            opened.requireOwner(group, self);
            opened.requireNewest();
            return opened;
        } catch (StoreRefusedException e) {
            opened.crash();
            throw e;
        } catch (MVStoreException e) {
            opened.crash();
            throw new StoreRefusedException(file + ": damaged: " + firstLine(e));
        }
    }

    private static MvStoreRaftStore open(String file, ConfigurationLimits limits) throws StoreRefusedException {
        try {
            return new MvStoreRaftStore(file, limits);
        } catch (MVStoreException | IllegalArgumentException e) {
            throw new StoreRefusedException(file + ": damaged or in use: " + firstLine(e));
        }
    }

    private void requireOwner(String group, ControlIdentity self) throws StoreRefusedException {
        StoredState stored = stored();
        long format = stored.headerLong(FORMAT);
        if (format != FORMAT_VERSION) {
            throw new StoreRefusedException(file + ": format " + format + ", this release reads " + FORMAT_VERSION);
        }
        stored.requireText(GROUP, group);
        stored.requireText(IDENTITY, self.identity());
    }

    private void requireNewest() throws StoreRefusedException {
        long flushes = stored().headerLong(FLUSHES);
        long counted = counter.read(file);
        if (flushes < counted) {
            throw new StoreRefusedException(file + ": holds flush " + flushes + " but " + counted
                    + " were made: it was truncated or set back; its machine takes a new identity");
        }
        counter.resumeAt(flushes);
    }

    @Override
    public Optional<RestoredRaftState> restore() throws IOException {
        try {
            return super.restore();
        } catch (MVStoreException e) {
            throw new StoreRefusedException(file + ": damaged: " + firstLine(e));
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
    Map<Long, byte[]> chunks() {
        return chunks;
    }

    @Override
    void removed() {
        compactionDue = true;
    }

    @Override
    String name() {
        return file;
    }

    @Override
    public void flush() throws IOException {
        try {
            long flushes = counter.next();
            header.put(FLUSHES, Checksummed.wrap(longBytes(flushes)));
            store.commit();
            store.sync();
            counter.write(flushes);
            if (compactionDue) {
                compactionDue = false;
                store.compact(LEAST_FILL_PERCENT, COMPACTION_WRITE_BYTES);
                store.sync();
            }
        } catch (MVStoreException e) {
            throw new IOException("the disk does not take what Raft has to remember: " + firstLine(e), e);
        }
    }

    @Override
    public void close() {
        store.close();
        counter.close();
    }

    /** Lets go of the file as a killed process does: what was not flushed is lost. */
    void crash() {
        store.closeImmediately();
        counter.close();
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
