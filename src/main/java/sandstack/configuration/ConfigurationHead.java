package sandstack.configuration;

import java.util.Objects;

/**
 * The latest committed state of a control machine, without its entries. Immutable.
 *
 * @param version the version of the last committed change
 * @param digest the digest of the configuration at that version
 * @param hasQuorum whether the machine reaches a quorum; if not, later changes may have been committed elsewhere
 */
public record ConfigurationHead(ConfigurationVersion version, ConfigurationDigest digest, boolean hasQuorum) {
    /**
     * Creates a head.
     *
     * @throws NullPointerException if the version or the digest is null
     */
    public ConfigurationHead {
        Objects.requireNonNull(version, "version");
        Objects.requireNonNull(digest, "digest");
    }
}
