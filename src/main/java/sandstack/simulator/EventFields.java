package sandstack.simulator;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sandstack.config.SettingsReader;
import sandstack.decisions.EndpointEntry;

/**
 * The fields of one event as they were read. The accessors check type and presence; their errors name the type of the
 * event and the field. One thread.
 */
final class EventFields {
    static final String LOAD_REPORT = "stats";
    static final String ENTRIES = "items";
    static final String SETTINGS = "profile_data";
    private static final String TABLE = "table";

    private final WireInput input;
    private final Map<String, Object> values = new HashMap<>();
    private String type;
    private SettingsReader settings;

    EventFields(WireInput input) {
        this.input = input;
    }

    void setType(String eventType) {
        type = eventType;
    }

    void setSettings(SettingsReader instanceSettings) {
        settings = instanceSettings;
    }

    void put(String field, Object value) {
        values.put(field, value);
    }

    /** The type of the event; null until it was read. */
    String type() {
        return type;
    }

    /** The settings of an instance; null for an event without them. */
    SettingsReader settings() {
        return settings;
    }

    boolean has(String field) {
        return values.get(field) != null;
    }

    long integer(String field) throws MalformedMessageException {
        Object value = values.get(field);
        if (value instanceof Long number) {
            return number;
        }
        throw value == null ? lacks(field) : malformed(": not an integer: " + field);
    }

    long integerOr(String field, long absent) throws MalformedMessageException {
        return has(field) ? integer(field) : absent;
    }

    double number(String field) throws MalformedMessageException {
        Object value = values.get(field);
        if (value instanceof Number number) {
            return number.doubleValue();
        }
        throw value == null ? lacks(field) : malformed(": not a number: " + field);
    }

    String text(String field) throws MalformedMessageException {
        String value = optionalText(field);
        if (value == null) {
            throw lacks(field);
        }
        return value;
    }

    /** A text; null where it is absent. */
    String optionalText(String field) throws MalformedMessageException {
        Object value = values.get(field);
        if (value == null || value instanceof String) {
            return (String) value;
        }
        throw malformed(": not a string: " + field);
    }

    /** A flag; false where it is absent. */
    boolean flag(String field) throws MalformedMessageException {
        Object value = values.get(field);
        if (value == null || value instanceof Boolean) {
            return value != null && (Boolean) value;
        }
        throw malformed(": not a bool: " + field);
    }

    /** The load report of a server; null where it is absent. */
    double[] loadReport() throws MalformedMessageException {
        Object value = values.get(LOAD_REPORT);
        if (value == null || value instanceof double[]) {
            return (double[]) value;
        }
        throw malformed(": not a row: " + LOAD_REPORT);
    }

    /** The number of an endpoint list, below the number of tables. */
    int tableIndex(int tableCount) throws MalformedMessageException {
        long table = integer(TABLE);
        if (table < 0 || table >= tableCount) {
            throw malformed(": " + TABLE + " is out of range");
        }
        return (int) table;
    }

    @SuppressWarnings("unchecked")
    List<EndpointEntry> entries() throws MalformedMessageException {
        if (values.get(ENTRIES) instanceof List<?> entries) {
            return (List<EndpointEntry>) entries;
        }
        throw lacks(ENTRIES);
    }

    /** The error for a field whose value is not in the protocol. */
    MalformedMessageException unknownValue(String field) {
        return malformed(": " + field + " has no known value");
    }

    /** The error for settings that the load balancer does not accept. */
    MalformedMessageException invalidSettings(Exception cause) {
        return input.malformed(SETTINGS + ": " + cause.getMessage());
    }

    /** An error in this event; the problem follows its type. */
    MalformedMessageException malformed(String problem) {
        return input.malformed(type + problem);
    }

    private MalformedMessageException lacks(String field) {
        return malformed(" lacks " + field);
    }
}
