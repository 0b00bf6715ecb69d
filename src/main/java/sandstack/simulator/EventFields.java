package sandstack.simulator;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sandstack.config.SettingsReader;
import sandstack.decisions.EndpointEntry;

/**
 * The fields of one event, by their names on the wire. The accessors check presence and type; their errors name the
 * event type and the field. Used by one thread.
 */
final class EventFields {
    static final String LOAD_REPORT = "stats";
    static final String ENTRIES = "items";
    static final String SETTINGS = "profile_data";
    private static final String TABLE = "table";

    private final WireInput input;
    /** Values of type Long, Double, String, Boolean, {@code double[]} (load report) or List (endpoint entries). */
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

    /** The type of the event; null until it has been read. */
    String type() {
        return type;
    }

    /** The settings of the instance to start; null for an event without settings. */
    SettingsReader settings() {
        return settings;
    }

    /** Whether the field is present with a value other than null. */
    boolean has(String field) {
        return values.get(field) != null;
    }

    long integer(String field) throws MalformedMessageException {
        Object value = values.get(field);
        if (value instanceof Long number) {
            return number;
        }
        throw value == null ? missing(field) : malformed(": not an integer: " + field);
    }

    long integerOrDefault(String field, long defaultValue) throws MalformedMessageException {
        return has(field) ? integer(field) : defaultValue;
    }

    double number(String field) throws MalformedMessageException {
        Object value = values.get(field);
        if (value instanceof Number number) {
            return number.doubleValue();
        }
        throw value == null ? missing(field) : malformed(": not a number: " + field);
    }

    String text(String field) throws MalformedMessageException {
        String value = optionalText(field);
        if (value == null) {
            throw missing(field);
        }
        return value;
    }

    /** A string field; null if absent. */
    String optionalText(String field) throws MalformedMessageException {
        Object value = values.get(field);
        if (value == null || value instanceof String) {
            return (String) value;
        }
        throw malformed(": not a string: " + field);
    }

    /** A boolean field; false if absent. */
    boolean flag(String field) throws MalformedMessageException {
        Object value = values.get(field);
        if (value == null || value instanceof Boolean) {
            return value != null && (Boolean) value;
        }
        throw malformed(": not a bool: " + field);
    }

    /** The values of a server's load report, one per report column; null if absent. */
    double[] loadReport() throws MalformedMessageException {
        Object value = values.get(LOAD_REPORT);
        if (value == null || value instanceof double[]) {
            return (double[]) value;
        }
        throw malformed(": not a row: " + LOAD_REPORT);
    }

    /** The number of the endpoint list that the event defines or refers to: from 0 to {@code tableCount - 1}. */
    int tableIndex(int tableCount) throws MalformedMessageException {
        long table = integer(TABLE);
        if (table < 0 || table >= tableCount) {
            throw malformed(": " + TABLE + " is out of range");
        }
        return (int) table;
    }

    /** The entries of an endpoint list; an absent list is an error. */
    @SuppressWarnings("unchecked")
    List<EndpointEntry> entries() throws MalformedMessageException {
        if (values.get(ENTRIES) instanceof List<?> entries) {
            return (List<EndpointEntry>) entries;
        }
        throw missing(ENTRIES);
    }

    /** The error for a field with a value that the protocol does not define. */
    MalformedMessageException unknownValue(String field) {
        return malformed(": " + field + " has no known value");
    }

    /** The error for settings that the load balancer rejects. */
    MalformedMessageException invalidSettings(Exception cause) {
        return input.malformed(SETTINGS + ": " + cause.getMessage());
    }

    /** An error in this event; the message appends {@code problem} to the event type without a separator. */
    MalformedMessageException malformed(String problem) {
        return input.malformed(type + problem);
    }

    private MalformedMessageException missing(String field) {
        return malformed(" lacks " + field);
    }
}
