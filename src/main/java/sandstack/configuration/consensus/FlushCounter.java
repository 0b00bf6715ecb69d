package sandstack.configuration.consensus;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import org.h2.store.fs.FilePath;
import sandstack.configuration.BoundedReader;
import sandstack.configuration.MalformedConfigurationException;

/**
 * The number of flushes that the store beside it has made, in a small file of its own. It is written after each flush,
 * so that the store is never behind it unless the store's file was truncated or replaced by an older one. Two slots are
 * written alternately, so that a write torn by a crash leaves the one before. Not thread-safe.
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

    /** The number of the next flush. */
    long nextFlush() {
        return lastFlush + 1;
    }

    /**
     * Reads the number of the last flush.
     *
     * @param store named in the error message
     */
    long readLastFlush(String store) throws RejectedStoreException {
        if (!StoreFiles.exists(file)) {
            throw new RejectedStoreException(store + ": the flush count " + file + " beside it is missing: whether the"
                    + " file is the newest cannot be known; its machine takes a new identity");
        }
        try {
            lastFlush = Math.max(readSlot(0), readSlot(1));
        } catch (IOException e) {
            throw new RejectedStoreException(file + ": cannot be read: " + e.getMessage());
        }
        if (lastFlush <= 0) {
            throw new RejectedStoreException(file + ": damaged: no flush count; its machine takes a new identity");
        }
        return lastFlush;
    }

    /** Resumes from a store that was flushed once more than counted, as a crash between the two leaves it. */
    void resumeFrom(long flush) {
        lastFlush = Math.max(lastFlush, flush);
    }

    /** Counts a flush; returns when it is on disk. */
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
