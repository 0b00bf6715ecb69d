package sandstack.simulator;

import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import sandstack.config.SettingsReader;
import sandstack.decisions.EndpointEntry;

/**
 * Reads the fields of one event of any type. Parses settings, load reports and endpoint entries, and keeps other
 * strings, numbers and booleans. Skips unknown objects, unknown arrays and nulls. Used by one thread.
 */
final class EventReader {
    private static final String TYPE = "t";
    /** Maximum number of values in a load report; the settings list at most this many report columns. */
    private static final int MAX_REPORT_COLUMNS = 4;

    private final WireInput input;
    private final EndpointEntryReader entryReader;

    EventReader(WireInput input) {
        this.input = input;
        this.entryReader = new EndpointEntryReader(input);
    }

    /** Reads one event; the current token must be its opening brace. */
    EventFields read() throws IOException, MalformedMessageException {
        input.expect(JsonToken.START_OBJECT, "an item of happened is not an object");
        EventFields event = new EventFields(input);
        while (input.next() == JsonToken.FIELD_NAME) {
            String field = input.fieldName();
            input.next();
            readValue(event, field);
        }
        if (event.type() == null) {
            throw input.malformed("an event lacks " + TYPE);
        }
        if (event.type().equals(SimulatorSession.START) && event.settings() == null) {
            throw input.malformed(SimulatorSession.START + " lacks " + EventFields.SETTINGS);
        }
        return event;
    }

    private void readValue(EventFields event, String field) throws IOException, MalformedMessageException {
        switch (input.current()) {
            case START_OBJECT -> readObject(event, field);
            case START_ARRAY -> readArray(event, field);
            case VALUE_STRING -> {
                if (field.equals(TYPE)) {
                    event.setType(input.text());
                } else {
                    event.put(field, input.text());
                }
            }
            case VALUE_NUMBER_INT -> event.put(field, input.integer());
            case VALUE_NUMBER_FLOAT -> event.put(field, input.number());
            case VALUE_TRUE -> event.put(field, Boolean.TRUE);
            case VALUE_FALSE -> event.put(field, Boolean.FALSE);
            default -> {}
        }
    }

    private void readObject(EventFields event, String field) throws IOException {
        if (!field.equals(EventFields.SETTINGS)) {
            input.skipChildren();
            return;
        }
        SettingsReader settings = new SettingsReader();
        settings.read(input.json());
        event.setSettings(settings);
    }

    private void readArray(EventFields event, String field) throws IOException, MalformedMessageException {
        switch (field) {
            case EventFields.LOAD_REPORT -> event.put(field, readLoadReport());
            case EventFields.ENTRIES -> event.put(field, readEntries());
            default -> input.skipChildren();
        }
    }

    private double[] readLoadReport() throws IOException, MalformedMessageException {
        double[] values = new double[MAX_REPORT_COLUMNS];
        int count = 0;
        while (input.next() != JsonToken.END_ARRAY) {
            if (count == values.length || !input.current().isNumeric()) {
                throw input.malformed("stats is not a row of at most " + MAX_REPORT_COLUMNS + " numbers");
            }
            values[count++] = input.number();
        }
        return Arrays.copyOf(values, count);
    }

    private List<EndpointEntry> readEntries() throws IOException, MalformedMessageException {
        List<EndpointEntry> entries = new ArrayList<>();
        while (input.next() != JsonToken.END_ARRAY) {
            entries.add(entryReader.read());
        }
        return entries;
    }
}
