package sandstack.configuration;

import java.util.List;
import java.util.Objects;

/**
 * Edits that take effect together or not at all. A rollback is an ordinary change whose edits restore the earlier
 * values.
 *
 * @param formatVersion the format version that a reader has to know, {@link #FORMAT_VERSION} as written here
 * @param baseVersion the version that the author saw; the change is rejected where another was committed since
 * @param author who proposes the change
 * @param reason why, for the operators' log
 */
public record ConfigurationChange(
        int formatVersion,
        ConfigurationVersion baseVersion,
        String author,
        String reason,
        List<ConfigurationEdit> edits) {
    /** The newest format that this release reads, and the one that it writes. */
    public static final int FORMAT_VERSION = 1;

    /** Copies the edits; rejects null. */
    public ConfigurationChange {
        Objects.requireNonNull(baseVersion, "baseVersion");
        Objects.requireNonNull(author, "author");
        Objects.requireNonNull(reason, "reason");
        edits = List.copyOf(edits);
    }

    /** A change in the format of this release. */
    public static ConfigurationChange of(
            ConfigurationVersion basedOn, String author, String reason, List<ConfigurationEdit> edits) {
        return new ConfigurationChange(FORMAT_VERSION, basedOn, author, reason, edits);
    }
}
