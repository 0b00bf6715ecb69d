package sandstack.measure.page;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;
import sandstack.config.InvalidConfigurationException;
import sandstack.measure.scale.Resource;
import sandstack.measure.scale.Role;
import sandstack.measure.scale.ScaleMeasurement.Effort;
import sandstack.measure.scale.ScaleReport;
import sandstack.measure.scale.Series;

/** The page in the repository agrees with its JSON files, and a change to only one of them is detected. */
class CapacityPageTest {
    private static final Path REPOSITORY = Path.of("");
    private static final Pattern TABLE = Pattern.compile("<!-- table: .*?<!-- end: [a-z-]+ -->", Pattern.DOTALL);
    private static final Pattern NUMBER = Pattern.compile("(?<![\\w.,-])[0-9][0-9,.]*");
    private static final ObjectMapper JSON = new ObjectMapper();

    @TempDir
    Path repositoryCopy;

    private final StringWriter errors = new StringWriter();

    @BeforeEach
    void copyPageAndJson() throws IOException {
        Files.createDirectories(repositoryCopy.resolve("docs/capacity"));
        for (String file : List.of(CapacityFiles.PAGE, CapacityFiles.PLAN, CapacityFiles.COST_MODELS)) {
            Files.copy(REPOSITORY.resolve(file), repositoryCopy.resolve(file));
        }
    }

    private int run(String... arguments) {
        List<String> all = new ArrayList<>(List.of("--root", repositoryCopy.toString()));
        all.addAll(List.of(arguments));
        return new CommandLine(new CapacityPageCommand())
                .setErr(new PrintWriter(errors))
                .setExecutionExceptionHandler((e, commandLine, parseResult) -> {
                    errors.append(e.getMessage()).append('\n');
                    return e instanceof InvalidConfigurationException ? 2 : 1;
                })
                .execute(all.toArray(String[]::new));
    }

    private String read(String file) throws IOException {
        return Files.readString(repositoryCopy.resolve(file));
    }

    private void write(String file, String text) throws IOException {
        Files.writeString(repositoryCopy.resolve(file), text);
    }

    private JsonNode readCostModels() throws IOException {
        return JSON.readTree(read(CapacityFiles.COST_MODELS));
    }

    @Test
    void pageAgreesWithItsJson() {
        assertThat(run("--check")).as(errors.toString()).isZero();
    }

    @Test
    void changedNumberInAnyTableOfThePageIsDetected() throws IOException {
        String page = read(CapacityFiles.PAGE);
        Matcher tables = TABLE.matcher(page);
        int changedTables = 0;
        while (tables.find()) {
            Matcher number = NUMBER.matcher(page).region(tables.start(), tables.end());
            if (number.find()) {
                write(CapacityFiles.PAGE, page.substring(0, number.start()) + "7" + page.substring(number.start()));
                assertThat(run("--check")).as(tables.group()).isEqualTo(1);
                changedTables++;
            }
        }
        assertThat(changedTables).isGreaterThan(10);
    }

    @Test
    void changedFigureInTheJsonIsDetectedForEachCostModel() throws IOException {
        int count = readCostModels().path("slopes").size();
        for (int i = 0; i < count; i++) {
            JsonNode costModels = readCostModels();
            ObjectNode costModel = (ObjectNode) costModels.path("slopes").get(i);
            costModel.put("figure", costModel.path("figure").asDouble() * 1.01 + 1);
            String before = read(CapacityFiles.COST_MODELS);
            write(CapacityFiles.COST_MODELS, costModels.toString());

            assertThat(run("--check")).as(costModel.path("id").asText()).isEqualTo(2);

            write(CapacityFiles.COST_MODELS, before);
        }
        assertThat(count).isGreaterThan(30);
        assertThat(errors.toString()).contains(".figure: ");
    }

    @ParameterizedTest
    @CsvSource({"mechanism, by hand", "title, another cost", "method, another way"})
    void changedTextInTheJsonIsDetected(String key, String text) throws IOException {
        JsonNode costModels = readCostModels();
        ((ObjectNode) costModels.path("slopes").get(0)).put(key, text);
        write(CapacityFiles.COST_MODELS, costModels.toString());

        assertThat(run("--check")).isEqualTo(1);
        assertThat(errors.toString()).contains("differs from what the JSON files yield");
    }

    @Test
    void changedPlanningNumberIsDetectedAndReckonRecomputesTheFigures() throws IOException {
        write(CapacityFiles.PLAN, read(CapacityFiles.PLAN).replace("\"value\": 48,", "\"value\": 64,"));
        write(CapacityFiles.PLAN, read(CapacityFiles.PLAN).replace("\"value\": 50331648,", "\"value\": 67108864,"));

        assertThat(run("--check"))
                .as("check with figures that do not follow from the changed plan")
                .isEqualTo(2);
        assertThat(run("--reckon")).as(errors.toString()).isZero();
        assertThat(run("--check")).isZero();
        assertThat(read(CapacityFiles.PAGE)).contains("67.1 MB");
    }

    @Test
    void recomputingAnUnchangedPageWritesIdenticalFiles() throws IOException {
        String page = read(CapacityFiles.PAGE);
        String json = read(CapacityFiles.COST_MODELS);

        assertThat(run("--reckon")).as(errors.toString()).isZero();

        assertThat(read(CapacityFiles.PAGE)).isEqualTo(page);
        assertThat(read(CapacityFiles.COST_MODELS)).isEqualTo(json);
    }

    private static Series series(String id, String per, double... values) {
        List<Series.Point> points = new ArrayList<>();
        for (int i = 0; i < values.length; i++) {
            points.add(new Series.Point(1_000 * (i + 1), values[i]));
        }
        return new Series(id, Role.RELAY_CONNECTIONS, Resource.MEMORY, "bytes", per, "fixed values", points);
    }

    private String writeReport(Series... series) throws IOException {
        List<ScaleReport.Result> results = Arrays.stream(series)
                .map(s -> new ScaleReport.Result("known", s, null))
                .toList();
        Path file = repositoryCopy.resolve("report.json");
        JSON.writeValue(
                file.toFile(),
                new ScaleReport("measure scale", "2026-01-02", "abc1234", Effort.FULL, 1, results, List.of()));
        return file.toString();
    }

    @Test
    void measuredSeriesAreMergedIntoThePage() throws IOException {
        String report = writeReport(
                series("relay.memory.heap", "connections", 2e6, 3e6, 4e6),
                series("relay.memory.resident", "connections", 2e6, 3e6),
                series("no.such.slope", "connections", 1, 2, 3));

        assertThat(run("--take", report)).as(errors.toString()).isZero();

        assertThat(errors.toString())
                .contains(
                        "ignored series (no cost model or too few distinct sizes): relay.memory.resident",
                        "ignored series (no cost model or too few distinct sizes): no.such.slope");
        assertThat(run("--check")).as(errors.toString()).isZero();
        assertThat(read(CapacityFiles.PAGE))
                .contains(
                        "| memory: heap | 1 MB + 1 KB x connections | linear, residual 0.0%, to 3,000 | 81.4 MB (x) |")
                .contains("2026-01-02, abc1234");
    }

    @Test
    void runWithoutAPlannedSizeIsReportedInOneLine() throws IOException {
        String report = writeReport(series("relay.memory.heap", "cups", 2e6, 3e6, 4e6));
        String before = read(CapacityFiles.COST_MODELS);

        assertThat(run("--take", report)).isEqualTo(2);

        assertThat(errors.toString().trim()).isEqualTo("relay.memory.heap.per: cups: the plan has no size for it");
        assertThat(read(CapacityFiles.COST_MODELS)).isEqualTo(before);
    }

    @Test
    void checkCannotBeCombinedWithReckon() {
        assertThat(run("--check", "--reckon")).isEqualTo(2);
    }
}
