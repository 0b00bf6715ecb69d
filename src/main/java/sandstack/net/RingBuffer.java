package sandstack.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import java.nio.charset.StandardCharsets;

/**
 * The bytes of one direction of a connection, first in, first out. Holds memory only while it holds bytes, and grows up
 * to its limit; a full buffer reads nothing more, which is the back-pressure. Not thread-safe.
 */
public final class RingBuffer {
    private static final int INITIAL_CAPACITY_BYTES = 512;
    private static final byte[] EMPTY = new byte[0];

    private final int limit;
    private byte[] bytes = EMPTY;
    private int head;
    private int size;

    /**
     * Creates an empty buffer, which holds no memory yet.
     *
     * @param limit a power of two; {@link #append} alone may go beyond it
     */
    public RingBuffer(int limit) {
        this.limit = limit;
    }

    /** Reads from the channel into the contiguous free space. Returns what the channel returned. */
    public int readFrom(ReadableByteChannel channel) throws IOException {
        if (remainingCapacity() == 0) {
            return 0;
        }
        if (size == bytes.length) {
            grow(size + 1);
        }
        int tail = (head + size) & (bytes.length - 1);
        int contiguous = tail < head ? head - tail : bytes.length - tail;
        int count = channel.read(ByteBuffer.wrap(bytes, tail, Math.min(contiguous, remainingCapacity())));
        size += Math.max(0, count);
        release();
        return count;
    }

    /** Writes as much as the channel accepts. */
    public void writeTo(WritableByteChannel channel) throws IOException {
        while (size > 0) {
            int count = channel.write(ByteBuffer.wrap(bytes, head, Math.min(size, bytes.length - head)));
            if (count <= 0) {
                break;
            }
            skip(count);
        }
    }

    /** Adds these bytes regardless of the limit: for the relay's own messages, which are short. */
    public void append(byte[] more, int from, int count) {
        if (size + count > bytes.length) {
            grow(size + count);
        }
        for (int i = 0; i < count; i++) {
            bytes[(head + size + i) & (bytes.length - 1)] = more[from + i];
        }
        size += count;
    }

    /** Adds this text in ISO 8859-1, regardless of the limit. */
    public void append(String text) {
        byte[] more = text.getBytes(StandardCharsets.ISO_8859_1);
        append(more, 0, more.length);
    }

    private void grow(int minimumCapacity) {
        int capacity = Math.max(INITIAL_CAPACITY_BYTES, bytes.length);
        while (capacity < minimumCapacity) {
            capacity *= 2;
        }
        byte[] larger = new byte[capacity];
        for (int i = 0; i < size; i++) {
            larger[i] = byteAt(i);
        }
        bytes = larger;
        head = 0;
    }

    private void release() {
        if (size == 0) {
            bytes = EMPTY;
            head = 0;
        }
    }

    /** The byte at this position, from 0 to {@link #size} - 1. */
    public byte byteAt(int index) {
        return bytes[(head + index) & (bytes.length - 1)];
    }

    /** Position of the first such byte; -1 if there is none. */
    public int indexOf(char wanted) {
        for (int i = 0; i < size; i++) {
            if (byteAt(i) == wanted) {
                return i;
            }
        }
        return -1;
    }

    /** The first bytes as ISO 8859-1 text; does not consume them. */
    public String peekText(int count) {
        StringBuilder text = new StringBuilder(count);
        for (int i = 0; i < count; i++) {
            text.append((char) (byteAt(i) & 0xff));
        }
        return text.toString();
    }

    /** Consumes and returns all bytes. */
    public byte[] takeAll() {
        byte[] all = new byte[size];
        for (int i = 0; i < all.length; i++) {
            all[i] = byteAt(i);
        }
        skip(size);
        return all;
    }

    /** Drops the first bytes; {@code count} is at most {@link #size}. */
    public void skip(int count) {
        head = (head + count) & Math.max(0, bytes.length - 1);
        size -= count;
        release();
    }

    /** Drops the newest bytes. */
    public void dropLast(int count) {
        size -= count;
        release();
    }

    /** How many bytes it holds. */
    public int size() {
        return size;
    }

    /** How many more bytes fit until the limit; never negative. */
    public int remainingCapacity() {
        return Math.max(0, limit - size);
    }

    /** Whether it holds nothing. */
    public boolean isEmpty() {
        return size == 0;
    }
}
