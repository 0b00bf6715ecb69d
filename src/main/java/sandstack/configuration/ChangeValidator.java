package sandstack.configuration;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import sandstack.configuration.ChangeRejection.Reason;

/**
 * Decides whether a change may be committed and whether a state may be activated. Immutable; the same inputs give the
 * same answer on every machine. Stops at the first violation, so that a large input costs no more than its bound.
 */
public final class ChangeValidator {
    private final ConfigurationLimits limits;
    private final ConfigurationCheck check;

    /**
     * Validates by bounds and by what the program can use.
     *
     * @param check gives the same answer on every machine
     */
    public ChangeValidator(ConfigurationLimits limits, ConfigurationCheck check) {
        this.limits = limits;
        this.check = check;
    }

    /** The bounds by which this validates. */
    public ConfigurationLimits limits() {
        return limits;
    }

    /** Why the change cannot follow the current state; empty where it can. */
    public Optional<ChangeRejection> validate(ConfigurationSnapshot current, ConfigurationChange change) {
        return validateContent(change).or(() -> validateBase(current, change)).or(() -> {
            // the term does not matter to whether the result is valid
            ConfigurationVersion next = current.version().next(current.version().term());
            return validateSnapshot(current.apply(next, change));
        });
    }

    /** Why a change is rejected whatever the current state is. */
    public Optional<ChangeRejection> validateContent(ConfigurationChange change) {
        return validateFormat(change.formatVersion())
                .or(() -> validateAuthor(change))
                .or(() -> validateEdits(change));
    }

    /** Why a complete state is rejected. */
    public Optional<ChangeRejection> validateSnapshot(ConfigurationSnapshot snapshot) {
        return validateFormat(snapshot.formatVersion())
                .or(() -> validateSize(snapshot))
                .or(() -> check.findProblem(snapshot).map(problem -> new ChangeRejection(Reason.UNUSABLE, problem)));
    }

    /** Why a format version is rejected. */
    Optional<ChangeRejection> validateFormat(int formatVersion) {
        if (formatVersion >= 1 && formatVersion <= ConfigurationChange.FORMAT_VERSION) {
            return Optional.empty();
        }
        return rejection(
                Reason.UNKNOWN_FORMAT,
                "format " + formatVersion + ", this release knows up to " + ConfigurationChange.FORMAT_VERSION);
    }

    private Optional<ChangeRejection> validateBase(ConfigurationSnapshot current, ConfigurationChange change) {
        if (change.baseVersion().equals(current.version())) {
            return Optional.empty();
        }
        return rejection(
                Reason.CONFLICTING_BASE,
                "the change is based on version " + change.baseVersion() + ", current is " + current.version());
    }

    private Optional<ChangeRejection> validateAuthor(ConfigurationChange change) {
        if (change.author().isBlank()) {
            return rejection(Reason.INVALID_AUTHOR, "the change names no author");
        }
        if (exceeds(change.author(), limits.maxAuthorBytes()) || exceeds(change.reason(), limits.maxReasonBytes())) {
            return rejection(
                    Reason.INVALID_AUTHOR,
                    "author or reason is longer than " + limits.maxAuthorBytes() + " and " + limits.maxReasonBytes()
                            + " bytes");
        }
        if (!isUnicode(change.author()) || !isUnicode(change.reason())) {
            return rejection(Reason.MALFORMED, "author or reason is no valid Unicode");
        }
        return Optional.empty();
    }

    private Optional<ChangeRejection> validateEdits(ConfigurationChange change) {
        if (change.edits().isEmpty()) {
            return rejection(Reason.EMPTY_CHANGE, "the change edits nothing");
        }
        if (change.edits().size() > limits.maxEditsPerChange()) {
            return rejection(
                    Reason.CHANGE_TOO_LARGE,
                    change.edits().size() + " edits, the most is " + limits.maxEditsPerChange());
        }
        long bytes = 0;
        Set<String> keys = new HashSet<>();
        for (ConfigurationEdit edit : change.edits()) {
            Optional<ChangeRejection> rejection = validateEdit(edit);
            if (rejection.isPresent()) {
                return rejection;
            }
            if (!keys.add(edit.key())) {
                return rejection(Reason.DUPLICATE_KEY, "key " + edit.key() + " is edited twice");
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
                    : rejection(Reason.MALFORMED, "key or value of " + edit.key() + " is no valid Unicode");
        });
    }

    private Optional<ChangeRejection> validateLength(ConfigurationEdit edit) {
        if (edit.key().isBlank() || exceeds(edit.key(), limits.maxKeyBytes())) {
            return rejection(Reason.INVALID_KEY, "a key has 1 to " + limits.maxKeyBytes() + " bytes: " + edit.key());
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
                    snapshot.entries().size() + " entries, the most is " + limits.maxEntries());
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

    /** Whether a text has more bytes in UTF-8; the bytes of one with more characters than that are not counted. */
    private static boolean exceeds(String text, int maxBytes) {
        return text.length() > maxBytes || ConfigurationSize.ofText(text) > maxBytes;
    }

    /** Whether a text can be encoded in UTF-8: an unpaired surrogate cannot. */
    private static boolean isUnicode(String text) {
        return StandardCharsets.UTF_8.newEncoder().canEncode(text);
    }

    private static Optional<ChangeRejection> rejection(Reason reason, String detail) {
        return Optional.of(new ChangeRejection(reason, detail));
    }
}
