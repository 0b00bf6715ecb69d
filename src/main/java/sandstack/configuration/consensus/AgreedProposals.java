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
 * The last proposals that were agreed on, by id, so that an attempt repeated is answered with the version of the first.
 * The oldest are forgotten; a repetition of such a one is refused, as its base is no longer current.
 */
final class AgreedProposals {
    private static final int ENTRY_BYTES = 4 * Long.BYTES;

    private final int most;
    private final Map<ChangeId, ConfigurationVersion> versions = new LinkedHashMap<>();

    AgreedProposals(int most) {
        this.most = most;
    }

    Optional<ConfigurationVersion> versionOf(ChangeId id) {
        return Optional.ofNullable(versions.get(id));
    }

    void add(ChangeId id, ConfigurationVersion version) {
        versions.put(id, version);
        Iterator<ChangeId> oldest = versions.keySet().iterator();
        while (versions.size() > most) {
            oldest.next();
            oldest.remove();
        }
    }

    /** Writes them in the order in which they were agreed on. */
    void write(FieldWriter out) {
        out.writeInt(versions.size());
        versions.forEach((id, version) -> out.writeLong(id.high())
                .writeLong(id.low())
                .writeLong(version.term())
                .writeLong(version.index()));
    }

    /** Replaces them by those that were written. */
    void read(BoundedReader in) throws MalformedConfigurationException {
        int count = in.readCount(most, ENTRY_BYTES);
        versions.clear();
        for (int i = 0; i < count; i++) {
            ChangeId id = new ChangeId(in.readLong(), in.readLong());
            versions.put(id, readVersion(in));
        }
    }

    private static ConfigurationVersion readVersion(BoundedReader in) throws MalformedConfigurationException {
        long term = in.readLong();
        long index = in.readLong();
        if (term < 0 || index < 0) {
            throw new MalformedConfigurationException("a version is negative");
        }
        return new ConfigurationVersion(term, index);
    }
}
