package sandstack.configuration;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * Reads the fields that {@link FieldWriter} writes: integers in big-endian order, texts and byte arrays after a 4-byte
 * length. A length is checked against its bound and against the remaining bytes before anything of that length is
 * allocated. Not thread-safe.
 */
public final class BoundedReader {
    private final ByteBuffer buffer;

    /** Reads a frame from its start. The bytes are not copied and must not be modified while this reads them. */
    public BoundedReader(byte[] frame) {
        buffer = ByteBuffer.wrap(frame);
    }

    /** The number of bytes that are not yet read. */
    public int remaining() {
        return buffer.remaining();
    }

    /** Reads one signed byte. */
    public byte readByte() throws MalformedConfigurationException {
        require(Byte.BYTES);
        return buffer.get();
    }

    /** Reads one byte, which must be 0 or 1. */
    public boolean readBoolean() throws MalformedConfigurationException {
        byte value = readByte();
        if (value != 0 && value != 1) {
            throw new MalformedConfigurationException("a boolean field is " + value + ", expected 0 or 1");
        }
        return value == 1;
    }

    /** Reads a signed 4-byte integer in big-endian order. */
    public int readInt() throws MalformedConfigurationException {
        require(Integer.BYTES);
        return buffer.getInt();
    }

    /** Reads a signed 8-byte integer in big-endian order. */
    public long readLong() throws MalformedConfigurationException {
        require(Long.BYTES);
        return buffer.getLong();
    }

    /**
     * Reads the number of elements that follow, as a 4-byte integer. Rejects a negative number, and one whose elements
     * cannot fit in the remaining bytes. Lengths of texts and byte arrays are read as counts of bytes.
     *
     * @param maxCount the largest accepted number of elements
     * @param minBytesEach the smallest encoded size of one element
     */
    public int readCount(int maxCount, int minBytesEach) throws MalformedConfigurationException {
        int count = readInt();
        if (count < 0 || count > maxCount || (long) count * minBytesEach > buffer.remaining()) {
            throw new MalformedConfigurationException("a count of " + count
                    + " is negative, or exceeds the remaining bytes or the maximum of " + maxCount);
        }
        return count;
    }

    /** Reads a text: its length in bytes, at most {@code maxBytes}, and its UTF-8 encoding. */
    public String readText(int maxBytes) throws MalformedConfigurationException {
        byte[] text = readBytes(maxBytes);
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(text))
                    .toString();
        } catch (CharacterCodingException e) {
            throw new MalformedConfigurationException("a text field is not valid UTF-8");
        }
    }

    /** Reads a byte array: its length, at most {@code maxBytes}, and its bytes. */
    public byte[] readBytes(int maxBytes) throws MalformedConfigurationException {
        byte[] value = new byte[readCount(maxBytes, 1)];
        buffer.get(value);
        return value;
    }

    /** Rejects the frame if bytes remain after its last field. */
    public void requireEnd() throws MalformedConfigurationException {
        if (buffer.hasRemaining()) {
            throw new MalformedConfigurationException(buffer.remaining() + " bytes after the last field of the frame");
        }
    }

    private void require(int count) throws MalformedConfigurationException {
        if (buffer.remaining() < count) {
            throw new MalformedConfigurationException(
                    "the frame is truncated: " + count + " bytes expected, " + buffer.remaining() + " remain");
        }
    }
}
