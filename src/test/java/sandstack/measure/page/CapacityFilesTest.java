package sandstack.measure.page;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sandstack.config.InvalidConfigurationException;

/** Errors in plan and cost model files are reported in one line with file, key and value. */
class CapacityFilesTest {
    private static final String PLAN =
            "{\"numbers\": [{\"name\": \"relays\", \"value\": 5600, \"unit\": \"relays\", \"source\": \"STATED\", "
                    + "\"meaning\": \"relays\", \"sizeOf\": [\"relays\"]}]}";
    private static final String COST_MODELS =
            "{\"slopes\": [{\"id\": \"a.b\", \"role\": \"DISCOVERY\", \"resource\": \"MEMORY\", \"title\": \"t\", "
                    + "\"unit\": \"bytes\", \"per\": \"relays\", \"origin\": \"MEASURED\", \"shape\": \"LINEAR\", "
                    + "\"coefficients\": [10, 2], \"residual\": 0, \"sizes\": [1, 2, 3], \"values\": [12, 14, 16], "
                    + "\"method\": \"m\", \"command\": \"c\", \"date\": \"d\", \"commit\": \"x\", \"arithmetic\": null, "
                    + "\"size\": 5600, \"figure\": 11210, \"budget\": {\"arithmetic\": \"relays\", \"value\": 5600}, "
                    + "\"needOverHave\": 2.0017857142857145, \"mechanism\": \"missing\", "
                    + "\"occasions\": {\"ZONE_LOST\": {\"arithmetic\": \"base + slope\", \"value\": 12}}}]}";

    @TempDir
    Path folder;

    private Path write(String text) throws IOException {
        return Files.writeString(folder.resolve("f.json"), text);
    }

    private Plan readPlan(String text) throws IOException, InvalidConfigurationException {
        return CapacityFiles.readPlan(write(text));
    }

    private void validateCostModels(String text) throws IOException, InvalidConfigurationException {
        Plan plan = readPlan(PLAN);
        CostModelValidator.validate("f.json", plan, CapacityFiles.readCostModels(write(text)));
    }

    @Test
    void validFilesAreAccepted() throws IOException, InvalidConfigurationException {
        assertThat(readPlan(PLAN).sizeOf("relays")).hasValue(5_600);
        validateCostModels(COST_MODELS);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            quoteCharacter = '\0',
            value = {
                "5600;\"many\";numbers[0].value: \"many\":",
                "5600;-1;numbers[0].value: -1.0: must be finite and greater than 0",
                "5600;null;numbers[0].value: null:",
                "\"STATED\";\"GUESSED\";numbers[0].source: \"GUESSED\":",
                "\"STATED\";\"DERIVED\";numbers[0].arithmetic: missing",
                "\"value\";\"valeu\";numbers[0].value: missing:",
                "\"value\";\"valeu\": 1, \"value\";numbers[0].valeu: 1:",
                "\"name\": \"relays\",;;numbers[0].name: missing",
                "\"meaning\";\"name\";line 1: Duplicate field 'name'"
            })
    void invalidPlanIsReportedInOneLine(String from, String to, String expectedMessage) {
        assertInvalid(() -> readPlan(PLAN.replace(from, to == null ? "" : to)), expectedMessage);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            quoteCharacter = '\0',
            value = {
                "\"LINEAR\";\"CUBE\";slopes[0].shape: \"CUBE\":",
                "\"LINEAR\";\"SQUARE\";a.b.shape: SQUARE: the best fit to its points is LINEAR",
                "[10, 2];[10, 3];a.b.coefficients[1]: 3.0: expected from the other values: 2",
                "[10, 2];[10];a.b.coefficients: [10.0]: must be base and slope",
                "[10, 2];[10, null];slopes[0]: {",
                "[1, 2, 3];[1, 2];a.b.values: [12.0, 14.0, 16.0]: must have one value for each size",
                "\"relays\", \"origin\";\"relais\", \"origin\";a.b.per: relais: the plan has no size for it",
                "\"size\": 5600;\"size\": 5601;a.b.size: 5601.0: the plan has 5600",
                "11210;11211;a.b.figure: 11211.0: expected from the other values: 11210",
                "\"value\": 5600;\"value\": 5601;a.b.budget.value: 5601.0: expected from the other values: 5600",
                "2.0017857142857145;null;a.b.needOverHave: null: expected from the other values: 2.0",
                "\"value\": 12;\"value\": 13;a.b.occasions.ZONE_LOST.value: 13.0: expected from the other values: 12",
                "\"base + slope\";\"base + slop\";a.b.occasions.ZONE_LOST.arithmetic: base + slop: "
                        + "the variable slop is not defined",
                "ZONE_LOST;ZONE_GONE;ZONE_GONE",
                "\"MEASURED\";\"RECKONED\";a.b.arithmetic: null: missing",
                "\"command\": \"c\";\"command\": null;a.b.command: null: missing"
            })
    void inconsistentCostModelIsReportedInOneLine(String from, String to, String expectedMessage) {
        assertInvalid(() -> validateCostModels(COST_MODELS.replace(from, to)), expectedMessage);
    }

    @Test
    void unreadableFileIsReportedInOneLine() throws IOException {
        assertInvalid(() -> CapacityFiles.readPlan(folder.resolve("none.json")), "no such file");
        assertInvalid(() -> readPlan(""), "");
        assertInvalid(() -> readPlan("null"), "is null");
        assertInvalid(() -> readPlan("{\"numbers\": ["), "line 1:");
        assertInvalid(() -> readPlan("{} {}"), "line 1:");
        assertInvalid(() -> readPlan("{}"), "numbers");
        assertInvalid(() -> readPlan(" ".repeat(5_000_000)), "size of 5000000 bytes is above the maximum of 4000000");
    }

    /** Reads or validates a file that is expected to be invalid. */
    private interface FileOperation {
        void run() throws Exception;
    }

    private static void assertInvalid(FileOperation operation, String expectedMessage) {
        assertThatThrownBy(operation::run)
                .isInstanceOf(InvalidConfigurationException.class)
                .satisfies(e -> {
                    assertThat(e.getMessage())
                            .contains(".json")
                            .doesNotContain("\n")
                            .contains(expectedMessage == null ? "" : expectedMessage);
                });
    }
}
