package sandstack.simulator;

import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads batches one by one: the time, the serial number and the events of each instance. Unknown fields are skipped.
 * The accessors return the batch read last; the next {@link #readNext} overwrites it. Used by one thread.
 */
final class BatchReader {
    private final WireInput input;
    private final EventReader eventReader;
    private final List<InstanceEvents> parts = new ArrayList<>();
    private long timeMicros;
    private long serial;

    /** One item of {@code parts}: the events of one instance in a batch, in order of occurrence. */
    static final class InstanceEvents {
        private int instanceId;
        private final List<EventFields> events = new ArrayList<>();

        /** The simulator's number for the instance. */
        int instanceId() {
            return instanceId;
        }

        List<EventFields> events() {
            return events;
        }
    }

    BatchReader(WireInput input) {
        this.input = input;
        this.eventReader = new EventReader(input);
    }

    /** Reads the next batch; returns false at the end of the input. */
    boolean readNext() throws IOException, MalformedMessageException {
        try {
            if (input.next() == null) {
                return false;
            }
            readBatch();
            return true;
        } catch (JsonParseException e) {
            throw input.notJson(e);
        }
    }

    /** The time of all events of the batch, on the simulator's clock. */
    long timeMicros() {
        return timeMicros;
    }

    /** The serial number of the batch, which the reply repeats. */
    long serial() {
        return serial;
    }

    /** The events of the batch by instance, in the order of the input. */
    List<InstanceEvents> parts() {
        return parts;
    }

    private void readBatch() throws IOException, MalformedMessageException {
        input.startBatch();
        parts.clear();
        input.expect(JsonToken.START_OBJECT, "the batch is not an object");
        boolean hasTime = false;
        boolean hasSerial = false;
        boolean hasParts = false;
        while (input.next() == JsonToken.FIELD_NAME) {
            String field = input.fieldName();
            input.next();
            switch (field) {
                case "time_us" -> {
                    timeMicros = input.requireInteger(field);
                    hasTime = true;
                }
                case "serial" -> {
                    serial = input.requireInteger(field);
                    input.setSerial(serial);
                    hasSerial = true;
                }
                case "parts" -> {
                    readParts();
                    hasParts = true;
                }
                default -> input.skipChildren();
            }
        }
        requireField(hasTime, "time_us");
        requireField(hasSerial, "serial");
        requireField(hasParts, "parts");
    }

    private void requireField(boolean present, String field) throws MalformedMessageException {
        if (!present) {
            throw input.malformed("lacks " + field);
        }
    }

    private void readParts() throws IOException, MalformedMessageException {
        input.expect(JsonToken.START_ARRAY, "parts is not an array");
        while (input.next() != JsonToken.END_ARRAY) {
            parts.add(readPart());
        }
    }

    private InstanceEvents readPart() throws IOException, MalformedMessageException {
        input.expect(JsonToken.START_OBJECT, "an item of parts is not an object");
        InstanceEvents part = new InstanceEvents();
        boolean hasInstance = false;
        boolean hasEvents = false;
        while (input.next() == JsonToken.FIELD_NAME) {
            String field = input.fieldName();
            input.next();
            switch (field) {
                case "who" -> {
                    part.instanceId = (int) input.requireInteger(field);
                    hasInstance = true;
                }
                case "happened" -> {
                    readEvents(part.events);
                    hasEvents = true;
                }
                default -> input.skipChildren();
            }
        }
        if (!hasInstance || !hasEvents) {
            throw input.malformed("a part lacks " + (hasInstance ? "happened" : "who"));
        }
        return part;
    }

    private void readEvents(List<EventFields> events) throws IOException, MalformedMessageException {
        input.expect(JsonToken.START_ARRAY, "happened is not an array");
        while (input.next() != JsonToken.END_ARRAY) {
            events.add(eventReader.read());
        }
    }
}
