package sandstack.configuration.consensus;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import org.h2.store.fs.FilePath;
import sandstack.configuration.BoundedReader;
import sandstack.configuration.MalformedConfigurationException;

/**
 * Counts the flushes of a store in a separate file. The count is written after each flush, so that the store holds
 * fewer flushes than the count only if the store's file was truncated or replaced by an older one. Counts alternate
 * between two slots, so that the previous count survives if a crash interrupts a write. Not thread-safe.
 */
final class FlushCounter implements AutoCloseable {
    private static final int SLOT_BYTES = 512;
    private static final int VALUE_BYTES = Integer.BYTES + Long.BYTES;

    private final String file;
    private FileChannel channel;
    private long lastFlush;

    FlushCounter(String file) {
        this.file = file;
    }

    /** Returns the number of the next flush; the first flush is number 1. */
    long nextFlush() {
        return lastFlush + 1;
    }

    /**
     * Reads the number of the last flush; rejects a count that is missing or damaged.
     *
     * @param store name of the store, for the error message
     */
    long readLastFlush(String store) throws RejectedStoreException {
        if (!StoreFiles.exists(file)) {
            throw new RejectedStoreException(store + ": the flush count " + file + " is missing, so the store may have"
                    + " been rolled back; its machine needs a new identity");
        }
        try {
            lastFlush = Math.max(readSlot(0), readSlot(1));
        } catch (IOException e) {
            throw new RejectedStoreException(file + ": cannot be read: " + e.getMessage());
        }
        if (lastFlush <= 0) {
            throw new RejectedStoreException(file + ": damaged: no flush count; its machine needs a new identity");
        }
        return lastFlush;
    }

    /** Continues after the store's last flush, which is not counted if a crash came between flush and count. */
    void resumeFrom(long flush) {
        lastFlush = Math.max(lastFlush, flush);
    }

    /** Writes the number of a completed flush; returns when it is on disk. */
    void writeFlush(long flush) throws IOException {
        byte[] value = Checksummed.wrap(MvStoreRaftStore.longBytes(flush));
        ByteBuffer bytes = ByteBuffer.wrap(value);
        long position = (flush & 1) * SLOT_BYTES;
        while (bytes.hasRemaining()) {
            position += openChannel().write(bytes, position);
        }
        openChannel().force(false);
        lastFlush = flush;
    }

    @Override
    public void close() {
        if (channel != null) {
            try {
                channel.close();
            } catch (IOException e) {
                // each write was forced, so nothing is lost
            }
            channel = null;
        }
    }

    private long readSlot(int slot) throws IOException {
        ByteBuffer value = ByteBuffer.allocate(VALUE_BYTES);
        long position = (long) slot * SLOT_BYTES;
        while (value.hasRemaining()) {
            int read = openChannel().read(value, position + value.position());
            if (read <= 0) {
                return 0;
            }
        }
        try {
            return new BoundedReader(Checksummed.unwrap(value.array())).readLong();
        } catch (MalformedConfigurationException e) {
            return 0;
        }
    }

    private FileChannel openChannel() throws IOException {
        if (channel == null) {
            channel = FilePath.get(file).open("rw");
        }
        return channel;
    }
}
