package sandstack.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import java.nio.charset.StandardCharsets;

/**
 * The bytes of one direction of a connection, in order. A ring takes memory only while it holds something,
 * and grows up to its limit; a full one takes no more from the channel, which is the back-pressure.
 */
public final class RingBuffer {
    private static final int LEAST = 512;
    private static final byte[] NONE = new byte[0];

    private final int limit;
    private byte[] bytes = NONE;
    private int head;
    private int size;

    /**
     * Creates an empty ring, which takes no memory yet.
     *
     * @param limit a power of two; {@link #append} alone may go beyond it
     */
    public RingBuffer(int limit) {
        this.limit = limit;
    }

    /** Reads what the channel has, as far as there is room in one piece. Returns what the channel returned. */
    public int readFrom(ReadableByteChannel channel) throws IOException {
        if (remainingCapacity() == 0) {
            return 0;
        }
        if (size == bytes.length) {
            grow(size + 1);
        }
        int tail = (head + size) & (bytes.length - 1);
        int piece = tail < head ? head - tail : bytes.length - tail;
        int n = channel.read(ByteBuffer.wrap(bytes, tail, Math.min(piece, remainingCapacity())));
        size += Math.max(0, n);
        release();
        return n;
    }

    /** Writes as much as the channel takes. */
    public void writeTo(WritableByteChannel channel) throws IOException {
        while (size > 0) {
            int n = channel.write(ByteBuffer.wrap(bytes, head, Math.min(size, bytes.length - head)));
            if (n <= 0) {
                break;
            }
            skip(n);
        }
    }

    /** Adds these bytes, whatever the limit says: for the relay's own words, which are few. */
    public void append(byte[] more, int from, int count) {
        if (size + count > bytes.length) {
            grow(size + count);
        }
        for (int i = 0; i < count; i++) {
            bytes[(head + size + i) & (bytes.length - 1)] = more[from + i];
        }
        size += count;
    }

    /** Adds this text, one byte a character, whatever the limit says. */
    public void append(String text) {
        byte[] more = text.getBytes(StandardCharsets.ISO_8859_1);
        append(more, 0, more.length);
    }

    private void grow(int least) {
        int capacity = Math.max(LEAST, bytes.length);
        while (capacity < least) {
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
            bytes = NONE;
            head = 0;
        }
    }

    /** The byte at this position, from 0 to {@link #size} - 1. */
    public byte byteAt(int i) {
        return bytes[(head + i) & (bytes.length - 1)];
    }

    /** Position of the first such byte; -1 where there is none. */
    public int indexOf(char wanted) {
        for (int i = 0; i < size; i++) {
            if (byteAt(i) == wanted) {
                return i;
            }
        }
        return -1;
    }

    /** The first bytes as text, one character a byte; they stay. */
    public String peekText(int count) {
        StringBuilder text = new StringBuilder(count);
        for (int i = 0; i < count; i++) {
            text.append((char) (byteAt(i) & 0xff));
        }
        return text.toString();
    }

    /** Takes all that is there. */
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

    /** Takes back the newest bytes. */
    public void dropLast(int count) {
        size -= count;
        release();
    }

    /** How many bytes it holds. */
    public int size() {
        return size;
    }

    /** How many bytes it takes until its limit; never negative. */
    public int remainingCapacity() {
        return Math.max(0, limit - size);
    }

    /** Whether it holds nothing. */
    public boolean isEmpty() {
        return size == 0;
    }
}
