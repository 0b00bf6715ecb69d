package sandstack.configuration.consensus;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.CRC32C;
import sandstack.configuration.MalformedConfigurationException;

/** Prefixes stored values with their CRC-32C, because MVStore's checksums cover only the headers of its pages. */
final class Checksummed {
    private Checksummed() {}

    static byte[] wrap(byte[] value) {
        return ByteBuffer.allocate(Integer.BYTES + value.length)
                .putInt(checksum(value))
                .put(value)
                .array();
    }

    static byte[] unwrap(byte[] wrapped) throws MalformedConfigurationException {
        if (wrapped.length < Integer.BYTES) {
            throw new MalformedConfigurationException(
                    "a value of " + wrapped.length + " bytes is shorter than its checksum");
        }
        byte[] value = Arrays.copyOfRange(wrapped, Integer.BYTES, wrapped.length);
        if (ByteBuffer.wrap(wrapped).getInt() != checksum(value)) {
            throw new MalformedConfigurationException("a value does not match its checksum");
        }
        return value;
    }

    private static int checksum(byte[] value) {
        CRC32C crc = new CRC32C();
        crc.update(value);
        return (int) crc.getValue();
    }
}
