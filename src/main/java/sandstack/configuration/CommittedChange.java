package sandstack.configuration;

import java.util.Objects;

/**
 * A change that a quorum of the control machines committed. Only {@link ConfigurationHistory} makes these of proposals.
 *
 * @param version its place in the history
 * @param change its content; {@code change.baseVersion()} is the version directly before
 * @param digest of the configuration after it
 */
public record CommittedChange(ConfigurationVersion version, ConfigurationChange change, ConfigurationDigest digest) {
    /** Rejects null, and a version that does not directly follow the base of the change. */
    public CommittedChange {
        Objects.requireNonNull(digest, "digest");
        if (!version.follows(change.baseVersion())) {
            throw new IllegalArgumentException(version + " does not follow " + change.baseVersion());
        }
    }
}
