package sandstack.configuration;

import java.util.Objects;

/**
 * What a control machine holds as the latest committed state.
 *
 * @param hasQuorum whether the machine is in touch with a quorum; without one its state may be old
 */
public record ConfigurationHead(ConfigurationVersion version, ConfigurationDigest digest, boolean hasQuorum) {
    /** Rejects null. */
    public ConfigurationHead {
        Objects.requireNonNull(version, "version");
        Objects.requireNonNull(digest, "digest");
    }
}
