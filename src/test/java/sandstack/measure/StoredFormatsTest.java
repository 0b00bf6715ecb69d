package sandstack.measure;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;
import sandstack.measure.page.CapacityPageCommand;
import sandstack.measure.page.Origin;
import sandstack.measure.page.PlanNumber;
import sandstack.measure.page.Scenario;
import sandstack.measure.scale.Resource;
import sandstack.measure.scale.Role;
import sandstack.measure.scale.ScaleMeasurement.Effort;
import sandstack.measure.scale.ScaleReport;
import sandstack.measure.scale.Shape;
import sandstack.measure.scale.storm.ClientBehaviour;
import sandstack.measure.scale.storm.RetryStormScale;

/**
 * The formats of files and printed tables that earlier builds wrote. Guards against changing them unintentionally by
 * renaming a class, field or constant.
 */
class StoredFormatsTest {
    private static final Path STORED = Path.of("src/test/resources/measure/stored");
    private static final Path STORM_REPORT = STORED.resolve("storm-report.json");
    private static final List<String> PAGE_FILES =
            List.of("docs/CAPACITY.md", "docs/capacity/plan.json", "docs/capacity/slopes.json");
    private static final ObjectMapper JSON = new ObjectMapper();

    @TempDir
    Path folder;

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(Object command, String... arguments) {
        return new CommandLine(command)
                .setOut(new PrintWriter(out))
                .setErr(new PrintWriter(err))
                .execute(arguments);
    }

    private static String readStored(String file) throws IOException {
        return Files.readString(STORED.resolve(file));
    }

    /** Removes the values that differ between runs: date, commit and duration. */
    private static String withoutRunDetails(String report) {
        return report.replaceAll("\"(date|commit|seconds)\" : [^\n]*", "\"$1\"");
    }

    private static String withoutSeconds(String text) {
        return text.replaceAll("[0-9.]+ s\n$", "");
    }

    @Test
    void reportOfAnEarlierBuildIsReadAndWrittenUnchanged() throws IOException {
        ScaleReport report = JSON.readValue(STORM_REPORT.toFile(), ScaleReport.class);

        assertThat(JSON.copy().enable(SerializationFeature.INDENT_OUTPUT).writeValueAsString(report))
                .isEqualTo(readStored("storm-report.json"));
    }

    @Test
    void simulatedRetryStormYieldsTheReportAndTableOfAnEarlierBuild() throws IOException {
        Path json = folder.resolve("report.json");

        assertThat(run(
                        new ScaleCommand(List.of(new RetryStormScale())),
                        "--quick",
                        "--only",
                        "storm",
                        "--json",
                        json.toString()))
                .isZero();

        assertThat(withoutRunDetails(Files.readString(json)))
                .isEqualTo(withoutRunDetails(readStored("storm-report.json")));
        assertThat(withoutSeconds(out.toString())).isEqualTo(withoutSeconds(readStored("storm-table.txt")));
        assertThat(withoutSeconds(err.toString())).isEqualTo(withoutSeconds(readStored("storm-progress.txt")));
    }

    @Test
    void estimatorComparisonYieldsTheFileAndOutputOfAnEarlierBuild() throws IOException {
        Path json = folder.resolve("estimators.json");

        assertThat(run(new MeasureCommand(), "estimators", "--quick", "--jar", "pom.xml", "--json", json.toString()))
                .isZero();

        assertThat(Files.readString(json)).isEqualTo(readStored("estimators.json"));
        assertThat(out.toString()).isEqualTo(readStored("estimators-table.txt"));
        assertThat(err.toString()).isEqualTo(readStored("estimators-progress.txt"));
    }

    @Test
    void reportOfAnEarlierBuildIsMergedIntoTheCostModels() throws IOException {
        Files.createDirectories(folder.resolve("docs/capacity"));
        for (String file : PAGE_FILES) {
            Files.copy(Path.of(file), folder.resolve(file));
        }
        JsonNode costModelsBefore =
                JSON.readTree(folder.resolve("docs/capacity/slopes.json").toFile());

        assertThat(run(new CapacityPageCommand(), "--root", folder.toString(), "--take", STORM_REPORT.toString()))
                .isZero();

        JsonNode costModels =
                JSON.readTree(folder.resolve("docs/capacity/slopes.json").toFile());
        List<String> mergedIds = new ArrayList<>();
        for (int i = 0; i < costModels.path("slopes").size(); i++) {
            JsonNode costModel = costModels.path("slopes").get(i);
            JsonNode before = costModelsBefore.path("slopes").get(i);
            if (costModel.path("command").asText().equals("measure scale --quick --only storm")) {
                mergedIds.add(costModel.path("id").asText());
            } else {
                assertThat(costModel).isEqualTo(before);
            }
            assertThat(costModel.fieldNames()).toIterable().containsExactlyElementsOf(before::fieldNames);
        }
        assertThat(mergedIds).containsExactlyElementsOf(stormModelIds(costModelsBefore));
        assertThat(run(new CapacityPageCommand(), "--root", folder.toString(), "--check"))
                .isZero();
    }

    private static List<String> stormModelIds(JsonNode costModels) {
        List<String> ids = new ArrayList<>();
        for (JsonNode costModel : costModels.path("slopes")) {
            if (costModel.path("id").asText().startsWith("storm.")) {
                ids.add(costModel.path("id").asText());
            }
        }
        return ids;
    }

    @Test
    void constantsInFilesAndSeriesIdsKeepTheirNames() throws IOException {
        assertThat(names(Effort.values())).isEqualTo("SMALL QUICK FULL");
        assertThat(names(Role.values()))
                .isEqualTo("RELAY_CONNECTIONS RELAY_PLACEMENT RELAY_RETRIES RELAY_CONTROL CONTROL_MACHINE DISCOVERY"
                        + " SHARD_DIRECTORY OPERATOR_TOOLS");
        assertThat(names(Resource.values())).isEqualTo("STATE MESSAGES NETWORK PROCESSOR MEMORY DISK LATENCY");
        assertThat(names(Shape.values())).isEqualTo("CONSTANT LOGARITHMIC LINEAR N_LOG_N SQUARE");
        assertThat(names(Origin.values())).isEqualTo("MEASURED MODELLED RECKONED");
        assertThat(names(Scenario.values())).isEqualTo("ORDINARY_DAY RACK_LOST ZONE_LOST REGIONS_APART ROLLOUT");
        assertThat(names(PlanNumber.Source.values())).isEqualTo("STATED SETTING ASSUMED DERIVED");
        assertThat(names(ClientBehaviour.values())).isEqualTo("AT_ONCE SPREAD SPREAD_THEN_ADVICE AT_ONCE_THEN_ADVICE");
    }

    /** The names of the constants as Jackson writes them, separated by spaces. */
    private static String names(Enum<?>[] constants) throws IOException {
        List<String> names = new ArrayList<>();
        JSON.readTree(JSON.writeValueAsBytes(constants)).forEach(name -> names.add(name.asText()));
        return String.join(" ", names);
    }
}
