package sandstack.configuration;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * Reads the fields of a frame. Nothing is allocated before its length is checked against the bound and against the
 * bytes that remain. Not thread-safe.
 */
public final class BoundedReader {
    private final ByteBuffer buffer;

    /** Reads this frame from its start; the bytes are not copied. */
    public BoundedReader(byte[] frame) {
        buffer = ByteBuffer.wrap(frame);
    }

    /** Bytes not yet read. */
    public int remaining() {
        return buffer.remaining();
    }

    /** One byte. */
    public byte readByte() throws MalformedConfigurationException {
        require(Byte.BYTES);
        return buffer.get();
    }

    /** A byte that is 0 or 1. */
    public boolean readBoolean() throws MalformedConfigurationException {
        byte value = readByte();
        if (value != 0 && value != 1) {
            throw new MalformedConfigurationException("a flag is " + value + ", neither 0 nor 1");
        }
        return value == 1;
    }

    /** Four bytes. */
    public int readInt() throws MalformedConfigurationException {
        require(Integer.BYTES);
        return buffer.getInt();
    }

    /** Eight bytes. */
    public long readLong() throws MalformedConfigurationException {
        require(Long.BYTES);
        return buffer.getLong();
    }

    /**
     * Four bytes: the number of elements that follow.
     *
     * @param maxCount the largest number that is accepted
     * @param minBytesEach the fewest bytes that one element takes
     */
    public int readCount(int maxCount, int minBytesEach) throws MalformedConfigurationException {
        int count = readInt();
        if (count < 0 || count > maxCount || (long) count * minBytesEach > buffer.remaining()) {
            throw new MalformedConfigurationException("a count of " + count + ", the maximum is " + maxCount);
        }
        return count;
    }

    /** A length in bytes and a text in UTF-8. */
    public String readText(int maxBytes) throws MalformedConfigurationException {
        byte[] text = readBytes(maxBytes);
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(text))
                    .toString();
        } catch (CharacterCodingException e) {
            throw new MalformedConfigurationException("a text is not UTF-8");
        }
    }

    /** A length and as many bytes. */
    public byte[] readBytes(int maxBytes) throws MalformedConfigurationException {
        byte[] value = new byte[readCount(maxBytes, 1)];
        buffer.get(value);
        return value;
    }

    /** Rejects a frame with bytes after its end. */
    public void requireEnd() throws MalformedConfigurationException {
        if (buffer.hasRemaining()) {
            throw new MalformedConfigurationException(buffer.remaining() + " bytes after the end");
        }
    }

    private void require(int count) throws MalformedConfigurationException {
        if (buffer.remaining() < count) {
            throw new MalformedConfigurationException(
                    "the frame ends early: " + count + " bytes expected, " + buffer.remaining() + " left");
        }
    }
}
