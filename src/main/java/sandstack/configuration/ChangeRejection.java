package sandstack.configuration;

import java.util.Objects;

/**
 * Why a change or a configuration was rejected. Immutable.
 *
 * @param reason the kind of violation
 * @param detail the violation in one line of bounded length, for operators
 */
public record ChangeRejection(Reason reason, String detail) {
    /** The kind of violation. Relays send it to control machines by its ordinal, so new constants go at the end. */
    public enum Reason {
        /** The change has no edits. */
        EMPTY_CHANGE,
        /** The change edits the same key more than once. */
        DUPLICATE_KEY,
        /** A key is blank or longer than {@link ConfigurationLimits#maxKeyBytes}. */
        INVALID_KEY,
        /** A value is longer than {@link ConfigurationLimits#maxValueBytes}. */
        VALUE_TOO_LARGE,
        /** The author is blank, or the author or the reason exceeds its maximum length. */
        INVALID_AUTHOR,
        /** The change has more edits or bytes than the limits allow. */
        CHANGE_TOO_LARGE,
        /** The configuration has, or would have after the change, more entries or bytes than the limits allow. */
        CONFIGURATION_TOO_LARGE,
        /** The format version is not supported by this release. */
        UNKNOWN_FORMAT,
        /** Another change was committed after the base version of this one. */
        CONFLICTING_BASE,
        /** The version or the digest belongs to another history. */
        DIVERGENT_HISTORY,
        /** The bytes cannot be decoded, or a text is not valid Unicode. */
        MALFORMED,
        /** The {@link ConfigurationCheck} found the resulting configuration unusable. */
        UNUSABLE,
        /**
         * No leader is known, or the leader lacks recent responses of a quorum, so the change cannot be committed now.
         */
        NO_QUORUM,
        /** The number of pending proposals is at its maximum, or a membership change is in progress. */
        TOO_MANY
    }

    /** Replaces line breaks and control characters in the detail and bounds its length. */
    public ChangeRejection {
        Objects.requireNonNull(reason, "reason");
        detail = LogText.singleLine(detail);
    }

    @Override
    public String toString() {
        return reason + ": " + detail;
    }
}
