package sandstack.faultinjection;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import sandstack.config.InvalidConfigurationException;

/** Fault schedules are read back as written, and invalid ones are rejected with a message of one line. */
class FaultScheduleTest {
    @TempDir
    Path folder;

    @Property(tries = 200)
    void aGeneratedScheduleIsReadBackAsWritten(@ForAll long seed) throws Exception {
        FaultSchedule generated = FaultScheduleGenerator.generate(seed);
        Path file = Files.createTempFile("schedule", ".toml");
        Files.writeString(file, FaultScheduleFile.format(generated));
        FaultSchedule read = FaultScheduleFile.read(file);
        Files.delete(file);
        assertThat(read.members()).isEqualTo(generated.members());
        assertThat(read.steps()).hasSameSizeAs(generated.steps());
        for (int i = 0; i < generated.steps().size(); i++) {
            assertThat(read.steps().get(i).toString())
                    .isEqualTo(generated.steps().get(i).toString());
        }
        assertThat(FaultScheduleGenerator.generate(seed)).isEqualTo(generated);
        for (FaultSchedule.Step step : generated.steps()) {
            assertThat(step.member()).isBetween(0, generated.members() - 1).isNotEqualTo(step.otherMember());
            assertThat(step.otherMember()).isLessThan(generated.members());
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "members = 0                                     | members must be a whole number from 1 to 100: 0",
                "members = 3\\ncolour = 1                        | colour is not known here; known are members, step",
                "members = 3                                     | step must be up to 1000 tables",
                "members = 3\\n[[step]]\\nat = -1                | step 1: at must be a number of seconds from 0 to 600.0: -1",
                "members = 3\\n[[step]]\\nat = 1\\ndo = \"jump\" | step 1: do is none of cut, cut-one-way, heal",
                "members = 3\\n[[step]]\\nat = 1\\ndo = \"kill\"\\na = 3          | step 1: a must be a whole number from 0 to 2: 3",
                "members = 3\\n[[step]]\\nat = 1\\ndo = \"cut\"\\na = 1\\nb = 1   | step 1: a and b are the same member: 1",
                "members = 3\\n[[step]]\\nat = 1\\nwhen = 2       | step 1: when is not known here",
                "members =                                       | ",
            })
    void anInvalidFileIsRejectedWithOneLineThatNamesFileKeyAndValue(String toml, String line) throws Exception {
        Path file = folder.resolve("s.toml");
        Files.writeString(file, toml.strip().replace("\\n", "\n"));
        assertThatThrownBy(() -> FaultScheduleFile.read(file))
                .isInstanceOf(InvalidConfigurationException.class)
                .hasMessageStartingWith(file + ": " + (line == null ? "" : line))
                .hasMessageNotContaining("\n");
    }

    /**
     * The files were written by an earlier build: the names of keys and actions and the numbers by which members are
     * named are a stored format.
     */
    @ParameterizedTest
    @ValueSource(strings = {"generated-seed-1", "generated-seed-5", "every-action", "no-step"})
    void aStoredScheduleIsReadAndWrittenUnchanged(String name) throws Exception {
        Path stored = Path.of("src/test/resources/faults", name + ".toml");
        assertThat(FaultScheduleFile.format(FaultScheduleFile.read(stored))).isEqualTo(Files.readString(stored));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 5})
    void aSeedAlwaysGivesTheSameSchedule(long seed) throws Exception {
        Path stored = Path.of("src/test/resources/faults", "generated-seed-" + seed + ".toml");
        assertThat(FaultScheduleFile.format(FaultScheduleGenerator.generate(seed)))
                .isEqualTo(Files.readString(stored));
    }

    @Test
    void stepsAreOrderedByTime() {
        FaultSchedule schedule = new FaultSchedule(
                2,
                List.of(
                        new FaultSchedule.Step(2, FaultSchedule.Action.HEAL, 0, 1),
                        new FaultSchedule.Step(1, FaultSchedule.Action.PARTITION, 0, 1)));
        assertThat(schedule.steps().get(0).action()).isEqualTo(FaultSchedule.Action.PARTITION);
        assertThat(schedule.without(0).steps()).hasSize(1);
    }
}
