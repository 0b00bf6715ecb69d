package sandstack.configuration;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/** Reads fields of a frame; allocates nothing before the length is checked against the bound and what is left. */
public final class BoundedReader {
    private final ByteBuffer buffer;

    /** Reads this frame from its start. */
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

    /** A number of things that take at least so many bytes each. */
    public int readCount(int maxCount, int minBytesEach) throws MalformedConfigurationException {
        int count = readInt();
        if (count < 0 || count > maxCount || (long) count * minBytesEach > buffer.remaining()) {
            throw new MalformedConfigurationException("a count of " + count + ", the maximum is " + maxCount);
        }
        return count;
    }

    /** A text of UTF-8 after its length. */
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

    /** Bytes after their number. */
    public byte[] readBytes(int maxBytes) throws MalformedConfigurationException {
        byte[] value = new byte[readCount(maxBytes, 1)];
        buffer.get(value);
        return value;
    }

    /** Refuses a frame that goes on. */
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
