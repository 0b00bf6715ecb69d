package sandstack.configuration;

import java.util.Objects;

/**
 * A change that a quorum of the control machines committed. Only {@link ConfigurationHistory} turns proposals into
 * committed changes. Immutable.
 *
 * @param version the position of the change in the history
 * @param change the edits; {@code change.baseVersion()} is the version directly before {@code version}
 * @param digest the digest of the configuration after the change
 */
public record CommittedChange(ConfigurationVersion version, ConfigurationChange change, ConfigurationDigest digest) {
    /**
     * Checks that the version directly follows the base version of the change.
     *
     * @throws IllegalArgumentException if it does not
     */
    public CommittedChange {
        Objects.requireNonNull(digest, "digest");
        if (!version.follows(change.baseVersion())) {
            throw new IllegalArgumentException(
                    version + " does not directly follow the base version " + change.baseVersion());
        }
    }
}
