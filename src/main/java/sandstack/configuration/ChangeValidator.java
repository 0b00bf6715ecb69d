package sandstack.configuration;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import sandstack.configuration.ChangeRefusal.Reason;

/**
 * Decides whether a change may be agreed on and whether a state may be put in force. The same inputs give the same
 * answer on every machine. Stops at the first thing that is wrong, so a large one costs no more than its bound.
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

    /** Why the change cannot come next after the current state; empty where it can. */
    public Optional<ChangeRefusal> refuse(ConfigurationSnapshot current, ConfigurationChange change) {
        return refuseContent(change).or(() -> refuseBase(current, change)).or(() -> {
            // the term does not matter to whether the result is valid
            ConfigurationVersion next = current.version().next(current.version().term());
            return refuseState(current.apply(next, change));
        });
    }

    /** Why a change is refused whatever the current state is. */
    public Optional<ChangeRefusal> refuseContent(ConfigurationChange change) {
        return refuseFormat(change.formatVersion())
                .or(() -> refuseAuthor(change))
                .or(() -> refuseEdits(change));
    }

    /** Why a whole state is refused. */
    public Optional<ChangeRefusal> refuseState(ConfigurationSnapshot state) {
        return refuseFormat(state.formatVersion()).or(() -> refuseSize(state)).or(() -> check.problem(state)
                .map(problem -> new ChangeRefusal(Reason.UNUSABLE, problem)));
    }

    /** Why something in this format is refused. */
    Optional<ChangeRefusal> refuseFormat(int formatVersion) {
        if (formatVersion >= 1 && formatVersion <= ConfigurationChange.FORMAT_VERSION) {
            return Optional.empty();
        }
        return refusal(
                Reason.UNKNOWN_FORMAT,
                "format " + formatVersion + ", this release knows up to " + ConfigurationChange.FORMAT_VERSION);
    }

    private Optional<ChangeRefusal> refuseBase(ConfigurationSnapshot current, ConfigurationChange change) {
        if (change.basedOn().equals(current.version())) {
            return Optional.empty();
        }
        return refusal(
                Reason.CONFLICTING_BASE,
                "the change is based on version " + change.basedOn() + ", current is " + current.version());
    }

    private Optional<ChangeRefusal> refuseAuthor(ConfigurationChange change) {
        if (change.author().isBlank()) {
            return refusal(Reason.INVALID_AUTHOR, "the change names no author");
        }
        if (longer(change.author(), limits.authorBytes()) || longer(change.reason(), limits.reasonBytes())) {
            return refusal(
                    Reason.INVALID_AUTHOR,
                    "author or reason is longer than " + limits.authorBytes() + " and " + limits.reasonBytes()
                            + " bytes");
        }
        if (!isUnicode(change.author()) || !isUnicode(change.reason())) {
            return refusal(Reason.MALFORMED, "author or reason is no valid Unicode");
        }
        return Optional.empty();
    }

    private Optional<ChangeRefusal> refuseEdits(ConfigurationChange change) {
        if (change.edits().isEmpty()) {
            return refusal(Reason.EMPTY_CHANGE, "the change edits nothing");
        }
        if (change.edits().size() > limits.editsPerChange()) {
            return refusal(
                    Reason.CHANGE_TOO_LARGE, change.edits().size() + " edits, the most is " + limits.editsPerChange());
        }
        long bytes = 0;
        Set<String> keys = new HashSet<>();
        for (ConfigurationEdit edit : change.edits()) {
            Optional<ChangeRefusal> refusal = refuseEdit(edit);
            if (refusal.isPresent()) {
                return refusal;
            }
            if (!keys.add(edit.key())) {
                return refusal(Reason.DUPLICATE_KEY, "key " + edit.key() + " is edited twice");
            }
            String value = edit instanceof ConfigurationEdit.Put put ? put.value() : "";
            bytes += ConfigurationSize.ofEntry(edit.key(), value, limits);
            if (bytes > limits.changeBytes()) {
                return refusal(Reason.CHANGE_TOO_LARGE, "more than " + limits.changeBytes() + " bytes in one change");
            }
        }
        return Optional.empty();
    }

    private Optional<ChangeRefusal> refuseEdit(ConfigurationEdit edit) {
        return refuseLength(edit).or(() -> {
            boolean valid =
                    isUnicode(edit.key()) && (!(edit instanceof ConfigurationEdit.Put put) || isUnicode(put.value()));
            return valid
                    ? Optional.empty()
                    : refusal(Reason.MALFORMED, "key or value of " + edit.key() + " is no valid Unicode");
        });
    }

    private Optional<ChangeRefusal> refuseLength(ConfigurationEdit edit) {
        if (edit.key().isBlank() || longer(edit.key(), limits.keyBytes())) {
            return refusal(Reason.INVALID_KEY, "a key has 1 to " + limits.keyBytes() + " bytes: " + edit.key());
        }
        if (edit instanceof ConfigurationEdit.Put put && longer(put.value(), limits.valueBytes())) {
            return refusal(
                    Reason.VALUE_TOO_LARGE,
                    "the value of " + put.key() + " has more than " + limits.valueBytes() + " bytes");
        }
        return Optional.empty();
    }

    private Optional<ChangeRefusal> refuseSize(ConfigurationSnapshot state) {
        if (state.entries().size() > limits.entries()) {
            return refusal(
                    Reason.CONFIGURATION_TOO_LARGE,
                    state.entries().size() + " entries, the most is " + limits.entries());
        }
        long bytes = 0;
        for (Map.Entry<String, String> entry : state.entries().entrySet()) {
            bytes += ConfigurationSize.ofEntry(entry.getKey(), entry.getValue(), limits);
            if (bytes > limits.configurationBytes()) {
                return refusal(
                        Reason.CONFIGURATION_TOO_LARGE,
                        "more than " + limits.configurationBytes() + " bytes in the whole configuration");
            }
        }
        return Optional.empty();
    }

    /** Whether a text has more bytes; one with more characters than that is not read. */
    private static boolean longer(String text, int bytes) {
        return text.length() > bytes || ConfigurationSize.ofText(text) > bytes;
    }

    /** Whether a text survives UTF-8: half a surrogate pair does not. */
    private static boolean isUnicode(String text) {
        return StandardCharsets.UTF_8.newEncoder().canEncode(text);
    }

    private static Optional<ChangeRefusal> refusal(Reason reason, String detail) {
        return Optional.of(new ChangeRefusal(reason, detail));
    }
}
