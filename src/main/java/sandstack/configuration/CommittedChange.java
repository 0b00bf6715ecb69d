package sandstack.configuration;

import java.util.Objects;

/**
 * A change that a quorum of the control machines agreed on. Only {@link ConfigurationHistory} makes these of proposals.
 *
 * @param version its place in the order
 * @param change its content; {@code change.basedOn()} is the version directly before
 * @param digest of the whole configuration after it
 */
public record CommittedChange(ConfigurationVersion version, ConfigurationChange change, ConfigurationDigest digest) {
    /** Refuses nulls, and a version that does not follow the one that the change is based on. */
    public CommittedChange {
        Objects.requireNonNull(digest, "digest");
        if (!version.follows(change.baseVersion())) {
            throw new IllegalArgumentException(version + " does not follow " + change.baseVersion());
        }
    }
}
