package sandstack.configuration;

import java.util.Objects;

/**
 * What a control machine holds as the latest agreed state.
 *
 * @param hasQuorum whether the machine is in touch with a quorum; without one its state may be old
 */
public record ConfigurationHead(ConfigurationVersion version, ConfigurationDigest digest, boolean hasQuorum) {
    /** Refuses nulls. */
    public ConfigurationHead {
        Objects.requireNonNull(version, "version");
        Objects.requireNonNull(digest, "digest");
    }
}
