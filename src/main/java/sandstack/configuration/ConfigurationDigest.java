package sandstack.configuration;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Map;

/**
 * A digest of a set of entries that does not depend on their order and can be updated by the entries that change: two
 * sums modulo 2^64 over the halves of each entry's SHA-256. It detects states that differ by a fault; it is no
 * protection against a forger.
 */
public record ConfigurationDigest(long high, long low) {
    /** The digest of no entries. */
    public static final ConfigurationDigest EMPTY = new ConfigurationDigest(0, 0);

    /** The digest of all entries of a map. */
    public static ConfigurationDigest of(Map<String, String> entries) {
        ConfigurationDigest digest = EMPTY;
        for (Map.Entry<String, String> entry : entries.entrySet()) {
            digest = digest.with(entry.getKey(), entry.getValue());
        }
        return digest;
    }

    /** The digest with one more entry. */
    public ConfigurationDigest with(String key, String value) {
        ConfigurationDigest entry = ofEntry(key, value);
        return new ConfigurationDigest(high + entry.high, low + entry.low);
    }

    /** The digest without an entry that is in it. */
    public ConfigurationDigest without(String key, String value) {
        ConfigurationDigest entry = ofEntry(key, value);
        return new ConfigurationDigest(high - entry.high, low - entry.low);
    }

    /** Writes both halves. */
    void writeTo(FieldWriter out) {
        out.writeLong(high).writeLong(low);
    }

    /** Reads what {@link #writeTo} wrote. */
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
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    @Override
    public String toString() {
        return String.format("%016x%016x", high, low);
    }
}
