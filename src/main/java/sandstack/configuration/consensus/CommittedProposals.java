package sandstack.configuration.consensus;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import sandstack.configuration.BoundedReader;
import sandstack.configuration.ConfigurationVersion;
import sandstack.configuration.FieldWriter;
import sandstack.configuration.MalformedConfigurationException;

/**
 * Maps the idempotency key of each of the latest committed proposals to the version at which it was committed, so that
 * a retry returns the version of the first attempt. Beyond the capacity the oldest keys are dropped; a retry under a
 * dropped key is rejected, because its base version is no longer current. Part of the replicated state, and therefore
 * equal on all machines. Not thread-safe.
 */
final class CommittedProposals {
    private static final int ENCODED_PROPOSAL_BYTES = 4 * Long.BYTES;

    private final int capacity;
    private final Map<IdempotencyKey, ConfigurationVersion> versions = new LinkedHashMap<>();

    CommittedProposals(int capacity) {
        this.capacity = capacity;
    }

    Optional<ConfigurationVersion> committedVersionOf(IdempotencyKey key) {
        return Optional.ofNullable(versions.get(key));
    }

    void add(IdempotencyKey key, ConfigurationVersion version) {
        versions.put(key, version);
        Iterator<IdempotencyKey> oldest = versions.keySet().iterator();
        while (versions.size() > capacity) {
            oldest.next();
            oldest.remove();
        }
    }

    /** Writes keys and versions in commit order. */
    void write(FieldWriter out) {
        out.writeInt(versions.size());
        versions.forEach((key, version) -> {
            out.writeLong(key.high()).writeLong(key.low());
            version.writeTo(out);
        });
    }

    /** Replaces all keys and versions with those that {@link #write} wrote. */
    void read(BoundedReader in) throws MalformedConfigurationException {
        int count = in.readCount(capacity, ENCODED_PROPOSAL_BYTES);
        versions.clear();
        for (int i = 0; i < count; i++) {
            IdempotencyKey key = new IdempotencyKey(in.readLong(), in.readLong());
            versions.put(key, ConfigurationVersion.readFrom(in));
        }
    }
}
