package sandstack.configuration;

import java.util.Objects;

/**
 * Why a change or a state was rejected.
 *
 * @param reason sent to control machines by its ordinal, so that constants are only ever appended
 * @param detail for operators, one bounded line
 */
public record ChangeRejection(Reason reason, String detail) {
    /** What is wrong. Sent by ordinal: append only. */
    public enum Reason {
        /** The change has no edit. */
        EMPTY_CHANGE,
        /** The change edits a key twice. */
        DUPLICATE_KEY,
        /** A key is empty or too long. */
        INVALID_KEY,
        /** A value is too long. */
        VALUE_TOO_LARGE,
        /** The author is missing, or author or reason is too long. */
        INVALID_AUTHOR,
        /** The change has too many edits or bytes. */
        CHANGE_TOO_LARGE,
        /** The configuration has, or would have, too many entries or bytes. */
        CONFIGURATION_TOO_LARGE,
        /** It is written in a format version that this release does not know. */
        UNKNOWN_FORMAT,
        /** Another change was committed since the version that it is based on. */
        CONFLICTING_BASE,
        /** Its version or digest belongs to another history. */
        DIVERGENT_HISTORY,
        /** Its bytes are not of this format. */
        MALFORMED,
        /** The program cannot use the resulting configuration. */
        UNUSABLE,
        /** No quorum of the control machines is reached, so nothing can be committed. */
        NO_QUORUM,
        /** More proposals are pending than are accepted. */
        TOO_MANY
    }

    /** Bounds the detail to one line. */
    public ChangeRejection {
        Objects.requireNonNull(reason, "reason");
        detail = LogText.singleLine(detail);
    }

    @Override
    public String toString() {
        return reason + ": " + detail;
    }
}
