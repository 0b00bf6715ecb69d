package sandstack.configuration;

import java.util.Objects;

/**
 * A change that a quorum of the control machines agreed on. Only {@link ConfigurationHistory} makes these of proposals.
 *
 * @param version its place in the order
 * @param change its content; {@code change.basedOn()} is the version directly before
 * @param digest of the whole configuration after it
 */
public record AgreedChange(ConfigurationVersion version, ConfigurationChange change, ConfigurationDigest digest) {
    /** Refuses nulls, and a version that does not follow the one that the change is based on. */
    public AgreedChange {
        Objects.requireNonNull(digest, "digest");
        if (!version.follows(change.basedOn())) {
            throw new IllegalArgumentException(version + " does not follow " + change.basedOn());
        }
    }
}
