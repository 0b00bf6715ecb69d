package sandstack.configuration;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Writes the fields that {@link BoundedReader} reads: integers in big-endian order, texts and byte arrays after their
 * length. Not thread-safe.
 */
public final class FieldWriter {
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    /** One byte, the lowest of the value. */
    public FieldWriter writeByte(int value) {
        bytes.write(value);
        return this;
    }

    /** A byte that is 0 or 1. */
    public FieldWriter writeBoolean(boolean value) {
        return writeByte(value ? 1 : 0);
    }

    /** Four bytes. */
    public FieldWriter writeInt(int value) {
        bytes.writeBytes(ByteBuffer.allocate(Integer.BYTES).putInt(value).array());
        return this;
    }

    /** Eight bytes. */
    public FieldWriter writeLong(long value) {
        bytes.writeBytes(ByteBuffer.allocate(Long.BYTES).putLong(value).array());
        return this;
    }

    /** A length in bytes and a text in UTF-8. */
    public FieldWriter writeText(String text) {
        return writeBytes(text.getBytes(StandardCharsets.UTF_8));
    }

    /** A length and the bytes. */
    public FieldWriter writeBytes(byte[] value) {
        writeInt(value.length);
        bytes.writeBytes(value);
        return this;
    }

    /** All that was written. */
    public byte[] toBytes() {
        return bytes.toByteArray();
    }
}
