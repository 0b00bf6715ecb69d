package sandstack.measure.page;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.util.DefaultIndenter;
import com.fasterxml.jackson.core.util.DefaultPrettyPrinter;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import sandstack.config.InvalidConfigurationException;
import sandstack.measure.scale.ScaleReport;

/** Reads and writes the JSON files behind the page; what is wrong is told in one line: file, key, value. */
public final class CapacityFiles {
    /** Where the planning numbers are, from the root of the repository. */
    public static final String PLAN = "docs/capacity/plan.json";

    /** Where the slopes are. */
    static final String SLOPES = "docs/capacity/slopes.json";

    /** The page. */
    static final String PAGE = "docs/CAPACITY.md";

    private static final long LARGEST = 4_000_000;
    private static final int LONGEST_VALUE = 80;
    private static final ObjectMapper JSON = JsonMapper.builder()
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .build();

    /** Keys may be missing where the checks behind it allow that. */
    private static final ObjectMapper KEYS_MAY_MISS =
            JSON.copy().disable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES);

    private CapacityFiles() {}

    /** Reads planning numbers and checks them. */
    public static Plan readPlan(Path file) throws InvalidConfigurationException {
        Plan plan = read(KEYS_MAY_MISS, file, Plan.class);
        PlanCheck.check(file.toString(), plan);
        return plan;
    }

    /** Reads slopes; that they agree with themselves is {@link SlopeCheck}'s. */
    static Slopes readSlopes(Path file) throws InvalidConfigurationException {
        return read(KEYS_MAY_MISS, file, Slopes.class);
    }

    /** Reads what a run of {@code measure scale} wrote. */
    static ScaleReport readReport(Path file) throws InvalidConfigurationException {
        return read(JSON, file, ScaleReport.class);
    }

    static void writeSlopes(Path file, Slopes slopes) throws IOException {
        DefaultPrettyPrinter printer = new DefaultPrettyPrinter();
        printer.indentObjectsWith(new DefaultIndenter("  ", "\n"));
        Files.writeString(file, JSON.writer(printer).writeValueAsString(slopes) + "\n");
    }

    private static <T> T read(ObjectMapper mapper, Path file, Class<T> type) throws InvalidConfigurationException {
        JsonNode tree = tree(file);
        try {
            T read = mapper.treeToValue(tree, type);
            if (read == null) {
                throw new InvalidConfigurationException(file + ": is null");
            }
            return read;
        } catch (JsonMappingException e) {
            throw new InvalidConfigurationException(
                    file + ": " + key(e) + ": " + shortened(value(tree, e)) + ": " + firstLine(e.getOriginalMessage()));
        } catch (JsonProcessingException e) {
            throw new InvalidConfigurationException(file + ": " + firstLine(e.getOriginalMessage()));
        }
    }

    /** Reads the page as it is. */
    static String readPage(Path file) throws InvalidConfigurationException {
        return new String(bytes(file), StandardCharsets.UTF_8);
    }

    private static JsonNode tree(Path file) throws InvalidConfigurationException {
        try {
            return JSON.readTree(bytes(file));
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            throw new InvalidConfigurationException(file + ": line " + line + ": " + firstLine(e.getOriginalMessage()));
        } catch (IOException e) {
            throw new InvalidConfigurationException(file + ": cannot be read: " + firstLine(e.getMessage()));
        }
    }

    private static byte[] bytes(Path file) throws InvalidConfigurationException {
        try {
            if (!Files.isRegularFile(file)) {
                throw new InvalidConfigurationException(file + ": there is no such file");
            }
            if (Files.size(file) > LARGEST) {
                throw new InvalidConfigurationException(
                        file + ": has " + Files.size(file) + " bytes, " + LARGEST + " at most");
            }
            return Files.readAllBytes(file);
        } catch (IOException e) {
            throw new InvalidConfigurationException(file + ": cannot be read: " + firstLine(e.getMessage()));
        }
    }

    /** Such as {@code slopes[3].shape}. */
    private static String key(JsonMappingException wrong) {
        StringBuilder key = new StringBuilder();
        for (JsonMappingException.Reference step : wrong.getPath()) {
            if (step.getFieldName() == null) {
                key.append('[').append(step.getIndex()).append(']');
            } else {
                key.append(key.length() == 0 ? "" : ".").append(step.getFieldName());
            }
        }
        return key.length() == 0 ? "(root)" : key.toString();
    }

    private static JsonNode value(JsonNode tree, JsonMappingException wrong) {
        JsonNode at = tree;
        for (JsonMappingException.Reference step : wrong.getPath()) {
            at = step.getFieldName() == null ? at.path(step.getIndex()) : at.path(step.getFieldName());
        }
        return at;
    }

    private static String shortened(JsonNode value) {
        String text = value.isMissingNode() ? "missing" : value.toString();
        return text.length() <= LONGEST_VALUE ? text : text.substring(0, LONGEST_VALUE) + "...";
    }

    private static String firstLine(String text) {
        return text == null ? "" : text.lines().findFirst().orElse("");
    }
}
