package sandstack.configuration;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import sandstack.configuration.ChangeRejection.Reason;

/**
 * Decides whether a change may be committed and whether a configuration may be activated. Deterministic: the same
 * inputs give the same result on every machine. Stops at the first violation, so that an oversized input costs no more
 * time than one at the limit. Immutable and thread-safe if the check is.
 */
public final class ChangeValidator {
    private final ConfigurationLimits limits;
    private final ConfigurationCheck check;

    /**
     * Creates a validator of changes and configurations.
     *
     * @param limits bounds of all sizes and counts; must be the same on all control machines
     * @param check evaluated last; must give the same result for the same configuration on every machine
     */
    public ChangeValidator(ConfigurationLimits limits, ConfigurationCheck check) {
        this.limits = limits;
        this.check = check;
    }

    /** The limits on keys, values, changes and the complete configuration that this validator enforces. */
    public ConfigurationLimits limits() {
        return limits;
    }

    /** Why a change cannot be committed directly after the current configuration; empty if it can. */
    public Optional<ChangeRejection> validate(ConfigurationSnapshot current, ConfigurationChange change) {
        return validateContent(change).or(() -> validateBase(current, change)).or(() -> {
            // validity does not depend on the term, so the current one stands in for that of the log entry
            ConfigurationVersion next = current.version().next(current.version().term());
            return validateSnapshot(current.apply(next, change));
        });
    }

    /** Why a change is invalid independently of the current configuration; empty if it is valid. */
    public Optional<ChangeRejection> validateContent(ConfigurationChange change) {
        return validateFormat(change.formatVersion())
                .or(() -> validateAuthor(change))
                .or(() -> validateEdits(change));
    }

    /** Why a complete configuration is invalid; empty if it is valid. */
    public Optional<ChangeRejection> validateSnapshot(ConfigurationSnapshot snapshot) {
        return validateFormat(snapshot.formatVersion())
                .or(() -> validateSize(snapshot))
                .or(() -> check.findProblem(snapshot).map(problem -> new ChangeRejection(Reason.UNUSABLE, problem)));
    }

    /** Why a format version is rejected; empty if this release supports it. */
    Optional<ChangeRejection> validateFormat(int formatVersion) {
        if (formatVersion >= 1 && formatVersion <= ConfigurationChange.FORMAT_VERSION) {
            return Optional.empty();
        }
        return rejection(
                Reason.UNKNOWN_FORMAT,
                "format version " + formatVersion + ", this release supports up to "
                        + ConfigurationChange.FORMAT_VERSION);
    }

    private Optional<ChangeRejection> validateBase(ConfigurationSnapshot current, ConfigurationChange change) {
        if (change.baseVersion().equals(current.version())) {
            return Optional.empty();
        }
        return rejection(
                Reason.CONFLICTING_BASE,
                "the change is based on version " + change.baseVersion() + ", the current version is "
                        + current.version());
    }

    private Optional<ChangeRejection> validateAuthor(ConfigurationChange change) {
        if (change.author().isBlank()) {
            return rejection(Reason.INVALID_AUTHOR, "the author of the change is blank");
        }
        if (exceeds(change.author(), limits.maxAuthorBytes()) || exceeds(change.reason(), limits.maxReasonBytes())) {
            return rejection(
                    Reason.INVALID_AUTHOR,
                    "author or reason exceeds its maximum of " + limits.maxAuthorBytes() + " or "
                            + limits.maxReasonBytes() + " bytes");
        }
        if (!isUnicode(change.author()) || !isUnicode(change.reason())) {
            return rejection(Reason.MALFORMED, "author or reason is not valid Unicode");
        }
        return Optional.empty();
    }

    private Optional<ChangeRejection> validateEdits(ConfigurationChange change) {
        if (change.edits().isEmpty()) {
            return rejection(Reason.EMPTY_CHANGE, "the change has no edits");
        }
        if (change.edits().size() > limits.maxEditsPerChange()) {
            return rejection(
                    Reason.CHANGE_TOO_LARGE,
                    change.edits().size() + " edits in one change, the maximum is " + limits.maxEditsPerChange());
        }
        long bytes = 0;
        Set<String> keys = new HashSet<>();
        for (ConfigurationEdit edit : change.edits()) {
            Optional<ChangeRejection> rejection = validateEdit(edit);
            if (rejection.isPresent()) {
                return rejection;
            }
            if (!keys.add(edit.key())) {
                return rejection(Reason.DUPLICATE_KEY, "key " + edit.key() + " is edited more than once");
            }
            String value = edit instanceof ConfigurationEdit.Put put ? put.value() : "";
            bytes += ConfigurationSize.ofEntry(edit.key(), value, limits);
            if (bytes > limits.maxChangeBytes()) {
                return rejection(
                        Reason.CHANGE_TOO_LARGE, "more than " + limits.maxChangeBytes() + " bytes in one change");
            }
        }
        return Optional.empty();
    }

    private Optional<ChangeRejection> validateEdit(ConfigurationEdit edit) {
        return validateLength(edit).or(() -> {
            boolean valid =
                    isUnicode(edit.key()) && (!(edit instanceof ConfigurationEdit.Put put) || isUnicode(put.value()));
            return valid
                    ? Optional.empty()
                    : rejection(Reason.MALFORMED, "key or value of " + edit.key() + " is not valid Unicode");
        });
    }

    private Optional<ChangeRejection> validateLength(ConfigurationEdit edit) {
        if (edit.key().isBlank() || exceeds(edit.key(), limits.maxKeyBytes())) {
            return rejection(
                    Reason.INVALID_KEY,
                    "a key must not be blank and has at most " + limits.maxKeyBytes() + " bytes: " + edit.key());
        }
        if (edit instanceof ConfigurationEdit.Put put && exceeds(put.value(), limits.maxValueBytes())) {
            return rejection(
                    Reason.VALUE_TOO_LARGE,
                    "the value of " + put.key() + " has more than " + limits.maxValueBytes() + " bytes");
        }
        return Optional.empty();
    }

    private Optional<ChangeRejection> validateSize(ConfigurationSnapshot snapshot) {
        if (snapshot.entries().size() > limits.maxEntries()) {
            return rejection(
                    Reason.CONFIGURATION_TOO_LARGE,
                    snapshot.entries().size() + " entries, the maximum is " + limits.maxEntries());
        }
        long bytes = 0;
        for (Map.Entry<String, String> entry : snapshot.entries().entrySet()) {
            bytes += ConfigurationSize.ofEntry(entry.getKey(), entry.getValue(), limits);
            if (bytes > limits.maxConfigurationBytes()) {
                return rejection(
                        Reason.CONFIGURATION_TOO_LARGE,
                        "more than " + limits.maxConfigurationBytes() + " bytes in the whole configuration");
            }
        }
        return Optional.empty();
    }

    /**
     * Whether the UTF-8 encoding of a text exceeds a number of bytes. Each {@code char} takes at least one byte, so the
     * bytes of a text with more than {@code maxBytes} chars are not counted.
     */
    private static boolean exceeds(String text, int maxBytes) {
        return text.length() > maxBytes || ConfigurationSize.ofText(text) > maxBytes;
    }

    /** Whether a text can be encoded in UTF-8, which is impossible if it contains an unpaired surrogate. */
    private static boolean isUnicode(String text) {
        return StandardCharsets.UTF_8.newEncoder().canEncode(text);
    }

    private static Optional<ChangeRejection> rejection(Reason reason, String detail) {
        return Optional.of(new ChangeRejection(reason, detail));
    }
}
