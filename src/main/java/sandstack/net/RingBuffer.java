package sandstack.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import java.nio.charset.StandardCharsets;

/**
 * A FIFO buffer for the bytes of one direction of a connection. Allocates memory only while it contains bytes, and
 * grows up to its limit; a full buffer accepts no reads, which creates back-pressure. Not thread-safe.
 */
public final class RingBuffer {
    private static final int INITIAL_CAPACITY_BYTES = 512;
    private static final byte[] EMPTY = new byte[0];

    private final int limit;
    private final HeapBudget heap;
    private byte[] bytes = EMPTY;
    private int head;
    private int size;
    /** The number of newest bytes that {@link #writeTo} leaves in the buffer. */
    private int withheld;

    private boolean counted = true;

    /**
     * Creates an empty buffer; memory is allocated with the first bytes.
     *
     * @param limit maximum number of bytes, a power of two; only {@link #append} may exceed it
     * @param heap counts the allocated memory until {@link #stopCounting}
     */
    RingBuffer(int limit, HeapBudget heap) {
        this.limit = limit;
        this.heap = heap;
    }

    /**
     * Reads once from the channel into contiguous free space. Returns the channel's result, or 0 if the buffer is full.
     */
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

    /**
     * Makes {@link #writeTo} leave this number of the newest bytes in the buffer. To be called again after each read,
     * as bytes that are read later are newer.
     */
    public void withholdLast(int count) {
        withheld = count;
    }

    /** The number of bytes that {@link #writeTo} may write. */
    public int writableBytes() {
        return size - withheld;
    }

    /** Writes and consumes as many bytes as the channel accepts. */
    public void writeTo(WritableByteChannel channel) throws IOException {
        while (writableBytes() > 0) {
            int count = channel.write(ByteBuffer.wrap(bytes, head, Math.min(writableBytes(), bytes.length - head)));
            if (count <= 0) {
                break;
            }
            skip(count);
        }
    }

    /** Appends bytes regardless of the limit; for messages of the relay, which are short. */
    public void append(byte[] more, int from, int count) {
        if (size + count > bytes.length) {
            grow(size + count);
        }
        for (int i = 0; i < count; i++) {
            bytes[(head + size + i) & (bytes.length - 1)] = more[from + i];
        }
        size += count;
    }

    /** Appends text in ISO 8859-1, regardless of the limit. */
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
        replaceBytes(larger);
    }

    private void release() {
        if (size == 0) {
            replaceBytes(EMPTY);
        }
    }

    private void replaceBytes(byte[] replacement) {
        if (counted) {
            heap.add(replacement.length - bytes.length);
        }
        bytes = replacement;
        head = 0;
    }

    /** Ends the counting of this buffer's memory; called when its connection is closed. */
    void stopCounting() {
        if (counted) {
            heap.add(-bytes.length);
            counted = false;
        }
    }

    /** Returns the byte at an index from 0, the oldest byte, to {@link #size} - 1. */
    public byte byteAt(int index) {
        return bytes[(head + index) & (bytes.length - 1)];
    }

    /** Returns the four bytes from an index as a big-endian integer; there have to be that many. */
    public int intAt(int index) {
        int value = 0;
        for (int i = 0; i < Integer.BYTES; i++) {
            value = (value << Byte.SIZE) | (byteAt(index + i) & 0xff);
        }
        return value;
    }

    /** Returns the index of the oldest byte equal to {@code wanted}; -1 if there is none. */
    public int indexOf(char wanted) {
        for (int i = 0; i < size; i++) {
            if (byteAt(i) == wanted) {
                return i;
            }
        }
        return -1;
    }

    /** Returns the oldest {@code count} bytes as ISO 8859-1 text without consuming them. */
    public String peekText(int count) {
        StringBuilder text = new StringBuilder(count);
        for (int i = 0; i < count; i++) {
            text.append((char) (byteAt(i) & 0xff));
        }
        return text.toString();
    }

    /** Consumes and returns all bytes. */
    public byte[] takeAll() {
        return take(size);
    }

    /** Consumes and returns the oldest bytes; {@code count} is at most {@link #size}. */
    public byte[] take(int count) {
        byte[] taken = new byte[count];
        for (int i = 0; i < count; i++) {
            taken[i] = byteAt(i);
        }
        skip(count);
        return taken;
    }

    /** Consumes the oldest bytes; {@code count} is at most {@link #size}. */
    public void skip(int count) {
        head = (head + count) & Math.max(0, bytes.length - 1);
        size -= count;
        release();
    }

    /** Removes the newest bytes, those that were withheld first; {@code count} is at most {@link #size}. */
    public void dropLast(int count) {
        size -= count;
        withheld = Math.max(0, withheld - count);
        release();
    }

    /** The number of bytes in the buffer. */
    public int size() {
        return size;
    }

    /** The number of bytes of heap that the buffer occupies. */
    int allocatedBytes() {
        return bytes.length;
    }

    /** The number of bytes that fit until the limit; never negative, although {@link #append} may exceed the limit. */
    public int remainingCapacity() {
        return Math.max(0, limit - size);
    }

    /** Whether the buffer contains no bytes. */
    public boolean isEmpty() {
        return size == 0;
    }
}
