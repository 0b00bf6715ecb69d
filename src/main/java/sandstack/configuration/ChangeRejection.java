package sandstack.configuration;

import java.util.Objects;

/**
 * Why a change or a state was refused.
 *
 * @param detail for people, one bounded line
 */
public record ChangeRejection(Reason reason, String detail) {
    /** What is wrong. */
    public enum Reason {
        /** It edits nothing. */
        EMPTY_CHANGE,
        /** It edits a key twice. */
        DUPLICATE_KEY,
        /** A key is empty or too long. */
        INVALID_KEY,
        /** A value is too long. */
        VALUE_TOO_LARGE,
        /** The author is missing, or author or reason is too long. */
        INVALID_AUTHOR,
        /** It has too many edits or bytes. */
        CHANGE_TOO_LARGE,
        /** The whole configuration would have too many entries or bytes. */
        CONFIGURATION_TOO_LARGE,
        /** It is written in a format that this release does not know. */
        UNKNOWN_FORMAT,
        /** Another change was agreed since the version that it is based on. */
        CONFLICTING_BASE,
        /** Its version or digest belongs to another history. */
        DIVERGENT_HISTORY,
        /** Its bytes are none of this format. */
        MALFORMED,
        /** The program cannot use the configuration that would result. */
        UNUSABLE,
        /** No quorum of the control machines is reached, so nothing can be agreed. */
        NO_QUORUM,
        /** More arrive than are taken. */
        TOO_MANY
    }

    /** Cuts the detail to one bounded line. */
    public ChangeRejection {
        Objects.requireNonNull(reason, "reason");
        detail = LogText.singleLine(detail);
    }

    @Override
    public String toString() {
        return reason + ": " + detail;
    }
}
