package sandstack.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The keys of a configuration file, which a reloaded file must have too. For an array, the keys that all its elements
 * have are included, written as in {@code classes[].name}. For the endpoint list, only the key of the list itself is
 * included, because the content of the list changes without action by an operator.
 *
 * @param paths the keys as dotted paths
 */
record ConfigurationKeys(Set<String> paths) {
    private static final String ENDPOINT_LIST_KEY = "known";

    static ConfigurationKeys of(JsonNode root) {
        Set<String> paths = new TreeSet<>();
        root.fields().forEachRemaining(field -> {
            if (field.getKey().equals(ENDPOINT_LIST_KEY)) {
                paths.add(ENDPOINT_LIST_KEY);
            } else {
                collect(field.getKey(), field.getValue(), paths);
            }
        });
        return new ConfigurationKeys(paths);
    }

    private static void collect(String path, JsonNode value, Set<String> paths) {
        paths.add(path);
        if (value.isObject()) {
            for (Iterator<Map.Entry<String, JsonNode>> fields = value.fields(); fields.hasNext(); ) {
                Map.Entry<String, JsonNode> field = fields.next();
                collect(path + "." + field.getKey(), field.getValue(), paths);
            }
        } else if (value.isArray() && !value.isEmpty()) {
            Set<String> commonPaths = null;
            for (JsonNode element : value) {
                Set<String> elementPaths = new TreeSet<>();
                collect(path + "[]", element, elementPaths);
                if (commonPaths == null) {
                    commonPaths = elementPaths;
                } else {
                    commonPaths.retainAll(elementPaths);
                }
            }
            paths.addAll(commonPaths);
        }
    }

    /** Throws if {@code next} lacks one of these keys; the message names the first such key. */
    void requireAllIn(ConfigurationKeys next) throws InvalidConfigurationException {
        for (String path : paths) {
            if (!next.paths.contains(path)) {
                throw new InvalidConfigurationException(path + " is missing");
            }
        }
    }
}
