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

/** Errors in input files are reported in one line with file, key and value. */
class CapacityFilesTest {
    private static final String NUMBER =
            "{\"numbers\": [{\"name\": \"relays\", \"value\": 5600, \"unit\": \"relays\", \"source\": \"STATED\", "
                    + "\"meaning\": \"relays\", \"sizeOf\": [\"relays\"]}]}";
    private static final String SLOPE =
            "{\"slopes\": [{\"id\": \"a.b\", \"role\": \"DISCOVERY\", \"resource\": \"MEMORY\", \"title\": \"t\", "
                    + "\"unit\": \"bytes\", \"per\": \"relays\", \"origin\": \"MEASURED\", \"shape\": \"LINEAR\", "
                    + "\"coefficients\": [10, 2], \"residual\": 0, \"sizes\": [1, 2, 3], \"values\": [12, 14, 16], "
                    + "\"method\": \"m\", \"command\": \"c\", \"date\": \"d\", \"commit\": \"x\", \"arithmetic\": null, "
                    + "\"size\": 5600, \"figure\": 11210, \"budget\": {\"arithmetic\": \"relays\", \"value\": 5600}, "
                    + "\"needOverHave\": 2.0017857142857145, \"mechanism\": \"missing\", "
                    + "\"occasions\": {\"ZONE_LOST\": {\"arithmetic\": \"base + slope\", \"value\": 12}}}]}";

    @TempDir
    Path folder;

    private Path file(String text) throws IOException {
        return Files.writeString(folder.resolve("f.json"), text);
    }

    private Plan plan(String text) throws IOException, InvalidConfigurationException {
        return CapacityFiles.readPlan(file(text));
    }

    private void check(String text) throws IOException, InvalidConfigurationException {
        Plan plan = plan(NUMBER);
        CostModelValidator.validate("f.json", plan, CapacityFiles.readCostModels(file(text)));
    }

    @Test
    void whatIsRightIsTaken() throws IOException, InvalidConfigurationException {
        assertThat(plan(NUMBER).sizeOf("relays")).hasValue(5_600);
        check(SLOPE);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            quoteCharacter = '\0',
            value = {
                "5600;\"many\";numbers[0].value: \"many\":",
                "5600;-1;numbers[0].value: -1.0: must be a number above 0",
                "5600;null;numbers[0].value: null:",
                "\"STATED\";\"GUESSED\";numbers[0].source: \"GUESSED\":",
                "\"STATED\";\"DERIVED\";numbers[0].arithmetic: missing",
                "\"value\";\"valeu\";numbers[0].value: missing:",
                "\"value\";\"valeu\": 1, \"value\";numbers[0].valeu: 1:",
                "\"name\": \"relays\",;;numbers[0].name: missing",
                "\"meaning\";\"name\";line 1: Duplicate field 'name'"
            })
    void aPlanThatCannotBeUsedIsToldInOneLine(String from, String to, String told) {
        wrong(() -> plan(NUMBER.replace(from, to == null ? "" : to)), told);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            quoteCharacter = '\0',
            value = {
                "\"LINEAR\";\"CUBE\";slopes[0].shape: \"CUBE\":",
                "\"LINEAR\";\"SQUARE\";a.b.shape: SQUARE: its points give LINEAR",
                "[10, 2];[10, 3];a.b.coefficients[1]: 3.0: the rest of the file gives 2",
                "[10, 2];[10];a.b.coefficients: [10.0]: must be base and slope",
                "[10, 2];[10, null];slopes[0]: {",
                "[1, 2, 3];[1, 2];a.b.values: [12.0, 14.0, 16.0]: not as many as sizes",
                "\"relays\", \"origin\";\"relais\", \"origin\";a.b.per: relais: the plan has no size of it",
                "\"size\": 5600;\"size\": 5601;a.b.size: 5601.0: the plan says 5600",
                "11210;11211;a.b.figure: 11211.0: the rest of the file gives 11210",
                "\"value\": 5600;\"value\": 5601;a.b.budget.value: 5601.0: the rest of the file gives 5600",
                "2.0017857142857145;null;a.b.needOverHave: null: the rest of the file gives 2.0",
                "\"value\": 12;\"value\": 13;a.b.occasions.ZONE_LOST.value: 13.0: the rest of the file gives 12",
                "\"base + slope\";\"base + slop\";a.b.occasions.ZONE_LOST.arithmetic: base + slop: names slop",
                "ZONE_LOST;ZONE_GONE;ZONE_GONE",
                "\"MEASURED\";\"RECKONED\";a.b.arithmetic: null: missing",
                "\"command\": \"c\";\"command\": null;a.b.command: null: missing"
            })
    void slopesThatDoNotAgreeAreToldInOneLine(String from, String to, String told) {
        wrong(() -> check(SLOPE.replace(from, to)), told);
    }

    @Test
    void filesThatAreNoneAreToldInOneLine() throws IOException {
        wrong(() -> CapacityFiles.readPlan(folder.resolve("none.json")), "there is no such file");
        wrong(() -> plan(""), "");
        wrong(() -> plan("null"), "is null");
        wrong(() -> plan("{\"numbers\": ["), "line 1:");
        wrong(() -> plan("{} {}"), "line 1:");
        wrong(() -> plan("{}"), "numbers");
        wrong(() -> plan(" ".repeat(5_000_000)), "has 5000000 bytes, 4000000 at most");
    }

    /** An operation that is expected to fail. */
    private interface Reading {
        void run() throws Exception;
    }

    private static void wrong(Reading reading, String told) {
        assertThatThrownBy(reading::run)
                .isInstanceOf(InvalidConfigurationException.class)
                .satisfies(e -> {
                    assertThat(e.getMessage())
                            .contains(".json")
                            .doesNotContain("\n")
                            .contains(told == null ? "" : told);
                });
    }
}
