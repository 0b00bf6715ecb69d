package sandstack.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/**
 * The values of a JSON object, by dotted path, such as {@code classes.0.gain}. The getters, except {@link #size}, throw
 * an {@link InvalidConfigurationException} that names the path if the value has another type or a required value is
 * missing. Not thread-safe.
 */
final class FlattenedSettings {
    private final Map<String, Object> values = new HashMap<>();
    private final Map<String, Integer> arraySizes = new HashMap<>();

    /** Reads the members of an object whose opening brace the parser has already read. */
    void read(JsonParser in) throws IOException {
        readObject(in, "");
    }

    private void readObject(JsonParser in, String prefix) throws IOException {
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String path = prefix + in.currentName();
            in.nextToken();
            readValue(in, path);
        }
    }

    private void readValue(JsonParser in, String path) throws IOException {
        switch (in.currentToken()) {
            case START_OBJECT -> readObject(in, path + ".");
            case START_ARRAY -> readArray(in, path);
            case VALUE_STRING -> values.put(path, in.getText());
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> values.put(path, in.getDoubleValue());
            case VALUE_TRUE -> values.put(path, Boolean.TRUE);
            case VALUE_FALSE -> values.put(path, Boolean.FALSE);
            default -> {}
        }
    }

    private void readArray(JsonParser in, String path) throws IOException {
        int size = 0;
        while (in.nextToken() != JsonToken.END_ARRAY) {
            readValue(in, path + "." + size);
            size++;
            if (in.currentToken() == JsonToken.START_OBJECT) {
                in.skipChildren();
            }
        }
        arraySizes.put(path, size);
    }

    /** A finite number, which must be present. */
    double requiredNumber(String path) throws InvalidConfigurationException {
        return finite(path, values.get(path));
    }

    /** A finite number, or the default if it is absent. */
    double number(String path, double defaultValue) throws InvalidConfigurationException {
        Object value = values.get(path);
        return value == null ? defaultValue : finite(path, value);
    }

    private static double finite(String path, Object value) throws InvalidConfigurationException {
        if (value instanceof Double number && Double.isFinite(number)) {
            return number;
        }
        throw new InvalidConfigurationException(path + (value == null ? " is missing" : " is not a number"));
    }

    /** A number, which must be present and at least 1; truncated to an integer. */
    long requiredPositive(String path) throws InvalidConfigurationException {
        double value = requiredNumber(path);
        if (value < 1) {
            throw new InvalidConfigurationException(path + " is not a number above 0");
        }
        return (long) value;
    }

    /** A duration in microseconds, truncated to an integer; 0 if it is absent. */
    long micros(String path) throws InvalidConfigurationException {
        return (long) number(path, 0);
    }

    /** A number, which must be present; truncated to an integer. */
    int requiredInt(String path) throws InvalidConfigurationException {
        return (int) requiredNumber(path);
    }

    /** A boolean; false if it is absent. */
    boolean flag(String path) throws InvalidConfigurationException {
        Object value = values.getOrDefault(path, false);
        if (value instanceof Boolean flag) {
            return flag;
        }
        throw new InvalidConfigurationException(path + " is not a bool");
    }

    /** A string; empty if it is absent. */
    String text(String path) throws InvalidConfigurationException {
        Object value = values.getOrDefault(path, "");
        if (value instanceof String text) {
            return text;
        }
        throw new InvalidConfigurationException(path + " is not a string");
    }

    /** The number of elements of an array, which must be present. */
    int requiredSize(String path) throws InvalidConfigurationException {
        Integer size = arraySizes.get(path);
        if (size == null) {
            throw new InvalidConfigurationException(
                    path + (values.containsKey(path) ? " is not an array" : " is missing"));
        }
        return size;
    }

    /** The number of elements of an array; 0 if it is absent. */
    int size(String path) {
        return arraySizes.getOrDefault(path, 0);
    }
}
