package sandstack.configuration;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Writes the fields that {@link BoundedReader} reads. */
final class FieldWriter {
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    FieldWriter writeByte(int value) {
        bytes.write(value);
        return this;
    }

    FieldWriter writeBoolean(boolean value) {
        return writeByte(value ? 1 : 0);
    }

    FieldWriter writeInt(int value) {
        bytes.writeBytes(ByteBuffer.allocate(Integer.BYTES).putInt(value).array());
        return this;
    }

    FieldWriter writeLong(long value) {
        bytes.writeBytes(ByteBuffer.allocate(Long.BYTES).putLong(value).array());
        return this;
    }

    FieldWriter writeText(String text) {
        return writeBytes(text.getBytes(StandardCharsets.UTF_8));
    }

    FieldWriter writeBytes(byte[] value) {
        writeInt(value.length);
        bytes.writeBytes(value);
        return this;
    }

    byte[] toBytes() {
        return bytes.toByteArray();
    }
}
