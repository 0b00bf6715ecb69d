package sandstack.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The keys of a configuration, as dotted paths. Of an array's objects only the keys count that all of them have, as
 * {@code classes[].name}; the list of feed servers counts as one value, for what it holds changes by itself.
 */
record ConfigurationKeys(Set<String> paths) {
    private static final String LIST = "known";

    static ConfigurationKeys of(JsonNode root) {
        Set<String> paths = new TreeSet<>();
        root.fields().forEachRemaining(field -> {
            if (field.getKey().equals(LIST)) {
                paths.add(LIST);
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
            Set<String> common = null;
            for (JsonNode element : value) {
                Set<String> own = new TreeSet<>();
                collect(path + "[]", element, own);
                if (common == null) {
                    common = own;
                } else {
                    common.retainAll(own);
                }
            }
            paths.addAll(common);
        }
    }

    /** Refuses a file that lacks a key which these have. */
    void requireAllIn(ConfigurationKeys later) throws InvalidConfigurationException {
        for (String path : paths) {
            if (!later.paths.contains(path)) {
                throw new InvalidConfigurationException(path + " is missing");
            }
        }
    }
}
