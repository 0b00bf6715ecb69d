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
 * and writes the resulting actions of a batch as one reply. The session only translates; all decisions are the load
 * balancer's. Used by one thread.
 */
public final class SimulatorSession {
    /** The type of the event that starts an instance. */
    static final String START = "Up";

    private static final String STOP = "PowerOff";

    /** The type of the event that stores an endpoint list under a number, for all instances. */
    private static final String ENDPOINT_TABLE = "Catalog";

    /** The type of the event that updates an instance's endpoint list; it refers to a stored list by number. */
    private static final String ENDPOINT_LIST = "Registry";

    /** Number of endpoint lists that the protocol can store; they are numbered from 0. */
    private static final int TABLE_COUNT = 16;

    private static final int INPUT_BUFFER_BYTES = 1 << 16;

    private final CapacityFile capacity;
    private final JsonFactory jsonFactory = new JsonFactory();
    private final Map<Integer, LoadBalancer> balancerByInstance = new HashMap<>();
    /** Stored endpoint lists by number; null if not received yet. */
    private final List<List<EndpointEntry>> endpointTables = new ArrayList<>(Collections.nCopies(TABLE_COUNT, null));

    /** Creates a session without stated server capacities and limits. */
    public SimulatorSession() {
        this(CapacityFile.NONE);
    }

    /**
     * Creates a session.
     *
     * @param capacity the stated capacities and limits, the same for all instances
     */
    public SimulatorSession(CapacityFile capacity) {
        this.capacity = capacity;
    }

    /**
     * Replies to batches until the input ends.
     *
     * @throws MalformedMessageException if the input violates the protocol; the reply to that batch is missing or
     *     incomplete
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

    /** Handles the events of one instance and writes their actions; writes nothing if there are none. */
    private void writePart(BatchReader.InstanceEvents part, long timeMicros, JsonGenerator out)
            throws IOException, MalformedMessageException {
        boolean started = false;
        for (EventFields event : part.events()) {
            List<BalancerAction> actions = handle(part.instanceId(), event, timeMicros);
            if (!started && !actions.isEmpty()) {
                started = true;
                out.writeStartObject();
                out.writeNumberField("who", part.instanceId());
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

    private List<BalancerAction> handle(int instanceId, EventFields event, long timeMicros)
            throws MalformedMessageException {
        switch (event.type()) {
            case START -> balancerByInstance.put(instanceId, newBalancer(event, timeMicros));
            case STOP -> balancerByInstance.remove(instanceId);
            case ENDPOINT_TABLE -> endpointTables.set(event.tableIndex(TABLE_COUNT), event.entries());
            default -> {
                return passToBalancer(instanceId, event, timeMicros);
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

    /** Passes an event to the load balancer of its instance; an event of unknown type has no effect. */
    private List<BalancerAction> passToBalancer(int instanceId, EventFields event, long timeMicros)
            throws MalformedMessageException {
        LoadBalancer balancer = balancerByInstance.get(instanceId);
        if (balancer == null) {
            throw event.malformed(" for instance " + instanceId + ", which has not started (field who)");
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
