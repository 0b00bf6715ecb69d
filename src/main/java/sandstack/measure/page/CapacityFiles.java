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

/**
 * Reads and writes the JSON files of the capacity page. Error messages are one line with the file and, if one is at
 * fault, its key and value.
 */
public final class CapacityFiles {
    /** File with the planning numbers, relative to the root of the repository. */
    public static final String PLAN = "docs/capacity/plan.json";

    /** File with the cost models, relative to the root of the repository. */
    static final String COST_MODELS = "docs/capacity/slopes.json";

    /** The page with the generated tables, relative to the root of the repository. */
    static final String PAGE = "docs/CAPACITY.md";

    private static final long MAX_FILE_BYTES = 4_000_000;
    private static final int MAX_VALUE_CHARACTERS = 80;
    private static final ObjectMapper JSON = JsonMapper.builder()
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .build();

    /** Accepts missing keys; the validators report a missing key that is required. */
    private static final ObjectMapper LENIENT_JSON =
            JSON.copy().disable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES);

    private CapacityFiles() {}

    /**
     * Reads and validates the planning numbers.
     *
     * @throws InvalidConfigurationException if the file cannot be read or is invalid
     */
    public static Plan readPlan(Path file) throws InvalidConfigurationException {
        Plan plan = read(LENIENT_JSON, file, Plan.class);
        PlanValidator.validate(file.toString(), plan);
        return plan;
    }

    /** Reads cost models without validating them; see {@link CostModelValidator}. */
    static CostModels readCostModels(Path file) throws InvalidConfigurationException {
        return read(LENIENT_JSON, file, CostModels.class);
    }

    /** Reads a report of {@code measure scale}. */
    static ScaleReport readReport(Path file) throws InvalidConfigurationException {
        return read(JSON, file, ScaleReport.class);
    }

    /** Writes cost models as JSON with the indentation of {@link #COST_MODELS}. */
    static void writeCostModels(Path file, CostModels costModels) throws IOException {
        DefaultPrettyPrinter printer = new DefaultPrettyPrinter();
        printer.indentObjectsWith(new DefaultIndenter("  ", "\n"));
        Files.writeString(file, JSON.writer(printer).writeValueAsString(costModels) + "\n");
    }

    private static <T> T read(ObjectMapper mapper, Path file, Class<T> type) throws InvalidConfigurationException {
        JsonNode tree = readTree(file);
        try {
            T value = mapper.treeToValue(tree, type);
            if (value == null) {
                throw new InvalidConfigurationException(file + ": is null");
            }
            return value;
        } catch (JsonMappingException e) {
            throw new InvalidConfigurationException(file + ": " + keyPath(e) + ": " + abbreviated(valueAt(tree, e))
                    + ": " + firstLine(e.getOriginalMessage()));
        } catch (JsonProcessingException e) {
            throw new InvalidConfigurationException(file + ": " + firstLine(e.getOriginalMessage()));
        }
    }

    /** Reads the page as UTF-8. */
    static String readPage(Path file) throws InvalidConfigurationException {
        return new String(readBytes(file), StandardCharsets.UTF_8);
    }

    private static JsonNode readTree(Path file) throws InvalidConfigurationException {
        try {
            return JSON.readTree(readBytes(file));
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            throw new InvalidConfigurationException(file + ": line " + line + ": " + firstLine(e.getOriginalMessage()));
        } catch (IOException e) {
            throw new InvalidConfigurationException(file + ": cannot be read: " + firstLine(e.getMessage()));
        }
    }

    private static byte[] readBytes(Path file) throws InvalidConfigurationException {
        try {
            if (!Files.isRegularFile(file)) {
                throw new InvalidConfigurationException(file + ": no such file");
            }
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new InvalidConfigurationException(
                        file + ": size of " + Files.size(file) + " bytes is above the maximum of " + MAX_FILE_BYTES);
            }
            return Files.readAllBytes(file);
        } catch (IOException e) {
            throw new InvalidConfigurationException(file + ": cannot be read: " + firstLine(e.getMessage()));
        }
    }

    /** The path of the key that an error is about, such as {@code slopes[3].shape}. */
    private static String keyPath(JsonMappingException exception) {
        StringBuilder key = new StringBuilder();
        for (JsonMappingException.Reference reference : exception.getPath()) {
            if (reference.getFieldName() == null) {
                key.append('[').append(reference.getIndex()).append(']');
            } else {
                key.append(key.length() == 0 ? "" : ".").append(reference.getFieldName());
            }
        }
        return key.length() == 0 ? "(root)" : key.toString();
    }

    private static JsonNode valueAt(JsonNode tree, JsonMappingException exception) {
        JsonNode node = tree;
        for (JsonMappingException.Reference reference : exception.getPath()) {
            node = reference.getFieldName() == null
                    ? node.path(reference.getIndex())
                    : node.path(reference.getFieldName());
        }
        return node;
    }

    private static String abbreviated(JsonNode value) {
        String text = value.isMissingNode() ? "missing" : value.toString();
        return text.length() <= MAX_VALUE_CHARACTERS ? text : text.substring(0, MAX_VALUE_CHARACTERS) + "...";
    }

    private static String firstLine(String text) {
        return text == null ? "" : text.lines().findFirst().orElse("");
    }
}
