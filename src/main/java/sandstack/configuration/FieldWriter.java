package sandstack.configuration;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Writes the fields that {@link BoundedReader} reads: integers in big-endian order, texts and byte arrays after a
 * 4-byte length. Every method returns this writer. Not thread-safe.
 */
public final class FieldWriter {
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    /** Writes the low-order byte of the value. */
    public FieldWriter writeByte(int value) {
        bytes.write(value);
        return this;
    }

    /** Writes one byte: 1 for true, 0 for false. */
    public FieldWriter writeBoolean(boolean value) {
        return writeByte(value ? 1 : 0);
    }

    /** Writes a 4-byte integer in big-endian order. */
    public FieldWriter writeInt(int value) {
        bytes.writeBytes(ByteBuffer.allocate(Integer.BYTES).putInt(value).array());
        return this;
    }

    /** Writes an 8-byte integer in big-endian order. */
    public FieldWriter writeLong(long value) {
        bytes.writeBytes(ByteBuffer.allocate(Long.BYTES).putLong(value).array());
        return this;
    }

    /** Writes the length of a text in bytes, and its UTF-8 encoding. */
    public FieldWriter writeText(String text) {
        return writeBytes(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Writes the length of an array, and its bytes. */
    public FieldWriter writeBytes(byte[] value) {
        writeInt(value.length);
        bytes.writeBytes(value);
        return this;
    }

    /** A copy of all bytes that are written so far. */
    public byte[] toBytes() {
        return bytes.toByteArray();
    }
}
