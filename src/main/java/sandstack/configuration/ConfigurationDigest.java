package sandstack.configuration;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Map;

/**
 * An order-independent, incrementally updatable digest of a set of entries: two sums modulo 2^64, over the first and
 * the second 64 bits of each entry's SHA-256. It detects configurations that differ because of a fault; it does not
 * protect against deliberate forgery. Immutable.
 *
 * @param high the sum of the first 64 bits
 * @param low the sum of the second 64 bits
 */
public record ConfigurationDigest(long high, long low) {
    /** The digest of the empty set of entries. */
    public static final ConfigurationDigest EMPTY = new ConfigurationDigest(0, 0);

    /** Computes the digest of a map; costs one SHA-256 per entry. */
    public static ConfigurationDigest of(Map<String, String> entries) {
        ConfigurationDigest digest = EMPTY;
        for (Map.Entry<String, String> entry : entries.entrySet()) {
            digest = digest.with(entry.getKey(), entry.getValue());
        }
        return digest;
    }

    /** The digest after an entry is added; the set must not contain its key yet. */
    public ConfigurationDigest with(String key, String value) {
        ConfigurationDigest entry = ofEntry(key, value);
        return new ConfigurationDigest(high + entry.high, low + entry.low);
    }

    /** The digest after an entry is removed; the set must contain the key with this value. */
    public ConfigurationDigest without(String key, String value) {
        ConfigurationDigest entry = ofEntry(key, value);
        return new ConfigurationDigest(high - entry.high, low - entry.low);
    }

    /** Writes 16 bytes, {@code high} first. */
    void writeTo(FieldWriter out) {
        out.writeLong(high).writeLong(low);
    }

    /** Reads the 16 bytes that {@link #writeTo} writes. */
    static ConfigurationDigest readFrom(BoundedReader in) throws MalformedConfigurationException {
        return new ConfigurationDigest(in.readLong(), in.readLong());
    }

    private static ConfigurationDigest ofEntry(String key, String value) {
        byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
        MessageDigest sha = sha256();
        sha.update(ByteBuffer.allocate(Integer.BYTES).putInt(keyBytes.length).array());
        sha.update(keyBytes);
        ByteBuffer hash = ByteBuffer.wrap(sha.digest(value.getBytes(StandardCharsets.UTF_8)));
        return new ConfigurationDigest(hash.getLong(), hash.getLong());
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform provides SHA-256", e);
        }
    }

    @Override
    public String toString() {
        return String.format("%016x%016x", high, low);
    }
}
