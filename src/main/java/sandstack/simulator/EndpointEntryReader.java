package sandstack.simulator;

import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import sandstack.decisions.EndpointEntry;
import sandstack.decisions.EndpointState;

/**
 * Reads one entry of an endpoint list. Unknown fields are skipped; a null value counts as an absent field. Used by one
 * thread.
 */
final class EndpointEntryReader {
    private static final double DEFAULT_RATING = 1;
    private static final long ABSENT = -1;

    private final WireInput input;

    // fields of the entry being read
    private String server;
    private EndpointState state;
    private long zone;
    private long cell;
    private long machineKind;
    private long startedAtMicros;
    private double rating;

    EndpointEntryReader(WireInput input) {
        this.input = input;
    }

    /** Reads one entry; the current token must be its opening brace. */
    EndpointEntry read() throws IOException, MalformedMessageException {
        input.expect(JsonToken.START_OBJECT, "an item of items is not an object");
        setDefaults();
        while (input.next() == JsonToken.FIELD_NAME) {
            String field = input.fieldName();
            if (input.next() != JsonToken.VALUE_NULL) {
                readValue(field);
            }
        }
        requireField(server != null, "server");
        requireField(state != null, "phase");
        requireField(zone >= 0, "dc");
        return new EndpointEntry(server, (int) zone, (int) cell, (int) machineKind, startedAtMicros, state, rating);
    }

    private void setDefaults() {
        server = null;
        state = null;
        zone = ABSENT;
        cell = 0;
        machineKind = 0;
        startedAtMicros = 0;
        rating = DEFAULT_RATING;
    }

    private void readValue(String field) throws IOException, MalformedMessageException {
        switch (field) {
            case "server" -> {
                input.expect(JsonToken.VALUE_STRING, "items: server is not a string");
                server = input.text();
            }
            case "phase" -> state = readState();
            case "dc" -> zone = input.requireInteger("items: dc");
            case "group" -> cell = input.requireInteger("items: group");
            case "shape" -> machineKind = input.requireInteger("items: shape");
            case "since_us" -> startedAtMicros = input.requireInteger("items: since_us");
            case "rating" -> {
                if (!input.current().isNumeric()) {
                    throw input.malformed("items: rating is not a number");
                }
                rating = input.number();
            }
            default -> input.skipChildren();
        }
    }

    private EndpointState readState() throws IOException, MalformedMessageException {
        return switch (input.text()) {
            case "in_service" -> EndpointState.READY;
            case "terminating" -> EndpointState.DRAINING;
            case "terminated" -> EndpointState.GONE;
            default -> throw input.malformed("items: phase has no known value");
        };
    }

    private void requireField(boolean present, String field) throws MalformedMessageException {
        if (!present) {
            throw input.malformed("items: an entry lacks " + field);
        }
    }
}
