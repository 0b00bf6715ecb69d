package sandstack.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import sandstack.configuration.ChangeRejection.Reason;
import sandstack.configuration.ConfigurationEdit.Put;
import sandstack.configuration.ConfigurationEdit.Remove;

/** Invalid changes are rejected with the matching reason and a detail of one bounded line. */
class ChangeValidatorTest {
    private static final ConfigurationLimits LIMITS = ConfigurationLimits.DEFAULT;

    private final ChangeValidator validator = new ChangeValidator(LIMITS, ConfigurationCheck.NONE);

    private static ConfigurationChange change(ConfigurationEdit... edits) {
        return ConfigurationChange.of(ConfigurationVersion.NONE, "ann", "a test", List.of(edits));
    }

    private void assertRejected(ConfigurationChange change, Reason reason) {
        Optional<ChangeRejection> rejection = validator.validate(ConfigurationSnapshot.EMPTY, change);
        assertThat(rejection).map(ChangeRejection::reason).contains(reason);
        assertThat(rejection.orElseThrow().toString()).hasSizeLessThan(300).doesNotContain("\n");
    }

    @Test
    void validChangeIsAccepted() {
        assertThat(validator.validate(ConfigurationSnapshot.EMPTY, change(new Put("a", "1"), new Remove("b"))))
                .isEmpty();
    }

    @Test
    void changeOutsideABoundIsRejectedWithItsReason() {
        assertRejected(change(), Reason.EMPTY_CHANGE);
        assertRejected(change(new Put("a", "1"), new Remove("a")), Reason.DUPLICATE_KEY);
        assertRejected(change(new Put("", "1")), Reason.INVALID_KEY);
        assertRejected(change(new Put("k".repeat(LIMITS.maxKeyBytes() + 1), "1")), Reason.INVALID_KEY);
        assertRejected(change(new Put("a", "é".repeat(LIMITS.maxValueBytes() / 2 + 1))), Reason.VALUE_TOO_LARGE);
        assertThat(validator.validate(
                        ConfigurationSnapshot.EMPTY, change(new Put("a", "é".repeat(LIMITS.maxValueBytes() / 2)))))
                .isEmpty();
        assertRejected(change(new Put("a\ud800", "1")), Reason.MALFORMED);
        assertRejected(change(new Put("a", "\udc00")), Reason.MALFORMED);
        assertRejected(
                ConfigurationChange.of(ConfigurationVersion.NONE, " ", "why", List.of(new Put("a", "1"))),
                Reason.INVALID_AUTHOR);
        assertRejected(
                ConfigurationChange.of(
                        ConfigurationVersion.NONE,
                        "ann",
                        "r".repeat(LIMITS.maxReasonBytes() + 1),
                        List.of(new Put("a", "1"))),
                Reason.INVALID_AUTHOR);
    }

    @Test
    void configurationOfSixtyMegabytesIsRejected() {
        String value = "v".repeat(60 << 20);
        assertRejected(change(new Put("a\nb", value)), Reason.VALUE_TOO_LARGE);
        ConfigurationEdit[] many = IntStream.range(0, 960)
                .mapToObj(i -> new Put("key-" + i, value.substring(0, 64 << 10)))
                .toArray(ConfigurationEdit[]::new);
        assertRejected(change(many), Reason.CHANGE_TOO_LARGE);
        ConfigurationEdit[] edits = IntStream.range(0, LIMITS.maxEditsPerChange() + 1)
                .mapToObj(i -> new Remove("key-" + i))
                .toArray(ConfigurationEdit[]::new);
        assertRejected(change(edits), Reason.CHANGE_TOO_LARGE);
    }

    @Test
    void manySmallChangesCannotExceedTheConfigurationBound() {
        List<ChangeRejection> rejections = new ArrayList<>();
        ConfigurationHistory history = new ConfigurationHistory(validator, new RecordingListener());
        for (int i = 0; i < 40; i++) {
            ConfigurationChange change = ConfigurationChange.of(
                    history.current().version(), "ann", "more", List.of(new Put("key-" + i, "v".repeat(60_000))));
            if (history.applyCommitted(1, change) instanceof ConfigurationHistory.Outcome.Rejected rejected) {
                rejections.add(rejected.rejection());
            }
        }
        assertThat(history.current().entries()).hasSize(17);
        assertThat(rejections).hasSize(23).allMatch(rejection -> rejection.reason() == Reason.CONFIGURATION_TOO_LARGE);
    }

    @Test
    void unknownFormatIsRejected() {
        ConfigurationChange changeOfNextFormat = new ConfigurationChange(
                ConfigurationChange.FORMAT_VERSION + 1,
                ConfigurationVersion.NONE,
                "ann",
                "why",
                List.of(new Put("a", "1")));
        assertRejected(changeOfNextFormat, Reason.UNKNOWN_FORMAT);
    }

    @Test
    void changeOfAnOlderBaseIsRejected() {
        ConfigurationSnapshot current =
                ConfigurationSnapshot.EMPTY.apply(new ConfigurationVersion(1, 1), change(new Put("a", "1")));
        assertThat(validator.validate(current, change(new Put("b", "1"))).map(ChangeRejection::reason))
                .contains(Reason.CONFLICTING_BASE);
    }

    @Test
    void configurationThatTheProgramCannotUseIsRejected() {
        ChangeValidator validatorWithCheck = new ChangeValidator(
                LIMITS,
                state -> state.entries().containsKey("port") ? Optional.empty() : Optional.of("port is missing"));
        assertThat(validatorWithCheck.validate(ConfigurationSnapshot.EMPTY, change(new Put("a", "1"))))
                .contains(new ChangeRejection(Reason.UNUSABLE, "port is missing"));
        assertThat(validatorWithCheck.validate(ConfigurationSnapshot.EMPTY, change(new Put("port", "1"))))
                .isEmpty();
    }
}
