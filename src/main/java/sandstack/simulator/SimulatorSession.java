package sandstack.simulator;

import com.fasterxml.jackson.core.JsonEncoding;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sandstack.config.CapacityFile;
import sandstack.config.InvalidConfigurationException;
import sandstack.decisions.BalancerAction;
import sandstack.decisions.BalancerEvent;
import sandstack.decisions.BalancerEvent.EndpointListUpdate;
import sandstack.decisions.EndpointEntry;
import sandstack.decisions.EndpointListKind;
import sandstack.decisions.LoadBalancer;

/**
 * A session with the simulator: reads batches of events, passes each event to the {@link LoadBalancer} of its instance
 * and writes the actions of a batch as one reply. It translates and decides nothing. One thread.
 */
public final class SimulatorSession {
    /** The type of the event that starts an instance. */
    static final String START = "Up";

    private static final String STOP = "PowerOff";
    private static final String ENDPOINT_TABLE = "Catalog";
    private static final String ENDPOINT_LIST = "Registry";

    /** Endpoint lists are numbered from 0 to one less than this. */
    private static final int TABLE_COUNT = 16;

    private static final int INPUT_BUFFER_BYTES = 1 << 16;

    private final CapacityFile capacity;
    private final JsonFactory jsonFactory = new JsonFactory();
    private final Map<Integer, LoadBalancer> balancerByInstance = new HashMap<>();
    /** Endpoint lists by number; null where none has been received. */
    private final List<List<EndpointEntry>> endpointTables = new ArrayList<>(Collections.nCopies(TABLE_COUNT, null));

    /** Creates a session in which nothing is stated of the capacity of servers. */
    public SimulatorSession() {
        this(CapacityFile.NONE);
    }

    /**
     * Creates a session.
     *
     * @param capacity the stated capacities and limits of every instance
     */
    public SimulatorSession(CapacityFile capacity) {
        this.capacity = capacity;
    }

    /**
     * Replies to batches until the input ends.
     *
     * @throws MalformedMessageException if the input breaks the protocol; the reply to that batch is missing or cut
     *     short
     */
    public void run(InputStream input, OutputStream output) throws IOException, MalformedMessageException {
        JsonGenerator out = jsonFactory.createGenerator(output, JsonEncoding.UTF8);
        out.setRootValueSeparator(null);
        try (WireInput in =
                new WireInput(jsonFactory.createParser(new BufferedInputStream(input, INPUT_BUFFER_BYTES)))) {
            BatchReader batch = new BatchReader(in);
            while (batch.readNext()) {
                writeReply(batch, out);
            }
        }
    }

    private void writeReply(BatchReader batch, JsonGenerator out) throws IOException, MalformedMessageException {
        out.writeStartObject();
        out.writeNumberField("serial", batch.serial());
        out.writeArrayFieldStart("parts");
        for (BatchReader.InstanceEvents part : batch.parts()) {
            writePart(part, batch.timeMicros(), out);
        }
        out.writeEndArray();
        out.writeEndObject();
        out.writeRaw('\n');
        out.flush();
    }

    /** Writes the actions of one instance; nothing where there are none. */
    private void writePart(BatchReader.InstanceEvents part, long timeMicros, JsonGenerator out)
            throws IOException, MalformedMessageException {
        boolean started = false;
        for (EventFields event : part.events()) {
            List<BalancerAction> actions = handle(part.instance(), event, timeMicros);
            if (!started && !actions.isEmpty()) {
                started = true;
                out.writeStartObject();
                out.writeNumberField("who", part.instance());
                out.writeArrayFieldStart("steps");
            }
            for (BalancerAction action : actions) {
                writeAction(action, out);
            }
        }
        if (started) {
            out.writeEndArray();
            out.writeEndObject();
        }
    }

    private static void writeAction(BalancerAction action, JsonGenerator out) throws IOException {
        out.writeStartObject();
        action.dispatch(new ActionWriter(out));
        out.writeEndObject();
    }

    private List<BalancerAction> handle(int instance, EventFields event, long timeMicros)
            throws MalformedMessageException {
        switch (event.type()) {
            case START -> balancerByInstance.put(instance, newBalancer(event, timeMicros));
            case STOP -> balancerByInstance.remove(instance);
            case ENDPOINT_TABLE -> endpointTables.set(event.tableIndex(TABLE_COUNT), event.entries());
            default -> {
                return pass(instance, event, timeMicros);
            }
        }
        return List.of();
    }

    private LoadBalancer newBalancer(EventFields event, long timeMicros) throws MalformedMessageException {
        try {
            return new LoadBalancer(
                    event.settings().settings(),
                    capacity.statedCapacities(),
                    capacity.limits(),
                    event.integer("entropy"),
                    timeMicros);
        } catch (InvalidConfigurationException | IllegalArgumentException e) {
            throw event.invalidSettings(e);
        }
    }

    /** Passes an event to the load balancer of its instance; one of an unknown type has no effect. */
    private List<BalancerAction> pass(int instance, EventFields event, long timeMicros)
            throws MalformedMessageException {
        LoadBalancer balancer = balancerByInstance.get(instance);
        if (balancer == null) {
            throw event.malformed(" for instance " + instance + ", which has not started (field who)");
        }
        BalancerEvent translated =
                event.type().equals(ENDPOINT_LIST) ? endpointListUpdate(event) : EventTranslator.translate(event);
        return translated == null ? List.of() : balancer.handle(translated, timeMicros);
    }

    private EndpointListUpdate endpointListUpdate(EventFields event) throws MalformedMessageException {
        EndpointListKind kind = EventTranslator.listKind(event);
        if (kind == EndpointListKind.FAILED) {
            return new EndpointListUpdate(kind, List.of());
        }
        List<EndpointEntry> entries = endpointTables.get(event.tableIndex(TABLE_COUNT));
        if (entries == null) {
            throw event.malformed(": table names a list that never came");
        }
        return new EndpointListUpdate(kind, entries);
    }
}
