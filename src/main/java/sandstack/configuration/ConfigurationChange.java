package sandstack.configuration;

import java.util.List;
import java.util.Objects;

/**
 * Edits that take effect together or not at all. A rollback is an ordinary change whose edits restore the earlier
 * values. {@link CommittedChange} adds the version and the digest. Immutable.
 *
 * @param formatVersion the format version that a reader must support; this release writes {@link #FORMAT_VERSION}
 * @param baseVersion the version of the configuration to which the edits apply; the change is rejected if this is no
 *     longer the current version when the change is applied
 * @param author the name of the proposer; must not be blank
 * @param reason the purpose of the change, for the operators' log
 */
public record ConfigurationChange(
        int formatVersion,
        ConfigurationVersion baseVersion,
        String author,
        String reason,
        List<ConfigurationEdit> edits) {
    /** The newest format version that this release reads, and the one that it writes. */
    public static final int FORMAT_VERSION = 1;

    /** Takes an immutable copy of the edits. Sizes and contents are checked by {@link ChangeValidator}. */
    public ConfigurationChange {
        Objects.requireNonNull(baseVersion, "baseVersion");
        Objects.requireNonNull(author, "author");
        Objects.requireNonNull(reason, "reason");
        edits = List.copyOf(edits);
    }

    /** Creates a change in the format version that this release writes, {@link #FORMAT_VERSION}. */
    public static ConfigurationChange of(
            ConfigurationVersion baseVersion, String author, String reason, List<ConfigurationEdit> edits) {
        return new ConfigurationChange(FORMAT_VERSION, baseVersion, author, reason, edits);
    }
}
