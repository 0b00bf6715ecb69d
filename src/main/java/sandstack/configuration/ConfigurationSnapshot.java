package sandstack.configuration;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * The complete configuration at one version. Immutable. Applying a change costs O(entries) for the copy, but only the
 * edited entries are hashed for the digest.
 */
public final class ConfigurationSnapshot {
    /** The configuration before the first change: no entries at {@link ConfigurationVersion#NONE}. */
    public static final ConfigurationSnapshot EMPTY = new ConfigurationSnapshot(
            ConfigurationVersion.NONE, ConfigurationChange.FORMAT_VERSION, Map.of(), ConfigurationDigest.EMPTY);

    private final ConfigurationVersion version;
    private final int formatVersion;
    private final Map<String, String> entries;
    private final ConfigurationDigest digest;

    private ConfigurationSnapshot(
            ConfigurationVersion version, int formatVersion, Map<String, String> entries, ConfigurationDigest digest) {
        this.version = Objects.requireNonNull(version, "version");
        this.formatVersion = formatVersion;
        this.entries = entries;
        this.digest = digest;
    }

    /** Creates a snapshot with a copy of the entries; hashes all of them for the digest. */
    public static ConfigurationSnapshot of(
            ConfigurationVersion version, int formatVersion, Map<String, String> entries) {
        Map<String, String> copy = Collections.unmodifiableMap(new HashMap<>(entries));
        return new ConfigurationSnapshot(version, formatVersion, copy, ConfigurationDigest.of(copy));
    }

    /** The version of the last change that is applied; {@link ConfigurationVersion#NONE} before the first. */
    public ConfigurationVersion version() {
        return version;
    }

    /** The format version of the last change; a reader of this snapshot must support it. */
    public int formatVersion() {
        return formatVersion;
    }

    /** All keys with their values, in no particular order; unmodifiable. */
    public Map<String, String> entries() {
        return entries;
    }

    /** The digest of the entries, which does not cover the version. */
    public ConfigurationDigest digest() {
        return digest;
    }

    /** Whether the digest matches the entries; recomputes it from all of them. */
    public boolean matchesDigest() {
        return ConfigurationDigest.of(entries).equals(digest);
    }

    /**
     * Creates the snapshot after a change.
     *
     * @param next the version of the change
     * @throws IllegalArgumentException if the change has another base version, or {@code next} does not directly follow
     *     the version of this snapshot
     */
    public ConfigurationSnapshot apply(ConfigurationVersion next, ConfigurationChange change) {
        if (!change.baseVersion().equals(version) || !next.follows(version)) {
            throw new IllegalArgumentException(
                    "a change " + next + " based on " + change.baseVersion() + " cannot be applied to " + version);
        }
        Map<String, String> changed = new HashMap<>(entries);
        ConfigurationDigest changedDigest = digest;
        for (ConfigurationEdit edit : change.edits()) {
            String previousValue = edit instanceof ConfigurationEdit.Put put
                    ? changed.put(put.key(), put.value())
                    : changed.remove(edit.key());
            if (previousValue != null) {
                changedDigest = changedDigest.without(edit.key(), previousValue);
            }
            if (edit instanceof ConfigurationEdit.Put put) {
                changedDigest = changedDigest.with(put.key(), put.value());
            }
        }
        return new ConfigurationSnapshot(
                next, change.formatVersion(), Collections.unmodifiableMap(changed), changedDigest);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ConfigurationSnapshot that
                && version.equals(that.version)
                && formatVersion == that.formatVersion
                && entries.equals(that.entries);
    }

    @Override
    public int hashCode() {
        return Objects.hash(version, formatVersion, digest);
    }

    @Override
    public String toString() {
        return "configuration " + version + " with " + entries.size() + " entries, digest " + digest;
    }
}
