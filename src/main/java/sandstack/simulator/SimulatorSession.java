package sandstack.simulator;

import com.fasterxml.jackson.core.JsonEncoding;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sandstack.config.CapacityFile;
import sandstack.config.InvalidConfigurationException;
import sandstack.config.SettingsReader;
import sandstack.decisions.BalancerAction;
import sandstack.decisions.BalancerEvent;
import sandstack.decisions.BalancerEvent.EndpointListUpdate;
import sandstack.decisions.EndpointEntry;
import sandstack.decisions.EndpointListKind;
import sandstack.decisions.EndpointState;
import sandstack.decisions.LoadBalancer;

/**
 * The adapter between the simulator's wire and {@link LoadBalancer}: reads batches of events, hands them to one
 * Brain per instance, writes its actions. It translates and decides nothing.
 */
public final class SimulatorSession {
    private static final int TABLES = 16;

    private final CapacityFile capacity;
    private final JsonFactory json = new JsonFactory();
    private final Map<Integer, LoadBalancer> brains = new HashMap<>();
    private final Map<Integer, SettingsReader> profiles = new HashMap<>();
    private final List<List<EndpointEntry>> tables = new ArrayList<>();
    private final BatchReader reader = new BatchReader();

    /** Creates a link whose instances are told nothing of the servers beforehand. */
    public SimulatorSession() {
        this(CapacityFile.NONE);
    }

    /**
     * Creates a link whose instances are all told the same of the servers beforehand.
     *
     * @param capacity what every instance is told of the servers
     */
    public SimulatorSession(CapacityFile capacity) {
        this.capacity = capacity;
        for (int i = 0; i < TABLES; i++) {
            tables.add(null);
        }
    }

    /** Plays batches until the input ends. */
    public void run(InputStream input, OutputStream output) throws IOException, MalformedMessageException {
        JsonParser in = json.createParser(new BufferedInputStream(input, 1 << 16));
        JsonGenerator out = json.createGenerator(output, JsonEncoding.UTF8);
        out.setRootValueSeparator(null);
        try {
            while (next(in) != null) {
                batch(in, out);
                out.writeRaw('\n');
                out.flush();
            }
        } finally {
            in.close();
        }
    }

    private JsonToken next(JsonParser in) throws IOException, MalformedMessageException {
        try {
            return in.nextToken();
        } catch (JsonParseException e) {
            throw reader.trouble("not JSON: " + e.getOriginalMessage());
        }
    }

    private void batch(JsonParser in, JsonGenerator out) throws IOException, MalformedMessageException {
        try {
            reader.batch(in);
        } catch (JsonParseException e) {
            throw reader.trouble("not JSON: " + e.getOriginalMessage());
        }
        out.writeStartObject();
        out.writeNumberField("serial", reader.serial);
        out.writeArrayFieldStart("parts");
        for (BatchReader.Part part : reader.parts) {
            boolean open = false;
            for (BatchReader.Raw raw : part.events) {
                List<BalancerAction> actions = play(part.who, raw);
                if (actions.isEmpty()) {
                    continue;
                }
                if (!open) {
                    open = true;
                    out.writeStartObject();
                    out.writeNumberField("who", part.who);
                    out.writeArrayFieldStart("steps");
                }
                for (BalancerAction a : actions) {
                    write(a, out);
                }
            }
            if (open) {
                out.writeEndArray();
                out.writeEndObject();
            }
        }
        out.writeEndArray();
        out.writeEndObject();
    }

    private List<BalancerAction> play(int who, BatchReader.Raw raw) throws MalformedMessageException {
        switch (raw.type) {
            case "Up" -> {
                SettingsReader profile = raw.profile;
                try {
                    brains.put(
                            who,
                            new LoadBalancer(
                                    profile.settings(),
                                    capacity.statedCapacities(),
                                    capacity.limits(),
                                    raw.number("entropy"),
                                    reader.time));
                } catch (InvalidConfigurationException | IllegalArgumentException e) {
                    throw reader.trouble("profile_data: " + e.getMessage());
                }
                profiles.put(who, profile);
                return List.of();
            }
            case "PowerOff" -> {
                brains.remove(who);
                profiles.remove(who);
                return List.of();
            }
            case "Catalog" -> {
                int table = raw.tableIndex(TABLES);
                tables.set(table, raw.items("items"));
                return List.of();
            }
            default -> {}
        }
        LoadBalancer brain = brains.get(who);
        if (brain == null) {
            throw reader.trouble(raw.type + " for instance " + who + ", which has not started (field who)");
        }
        BalancerEvent event;
        if (raw.type.equals("Registry")) {
            EndpointListKind kind = raw.listKind();
            List<EndpointEntry> entries = List.of();
            if (kind != EndpointListKind.FAILED) {
                entries = tables.get(raw.tableIndex(TABLES));
                if (entries == null) {
                    throw reader.trouble("Registry: table names a list that never came");
                }
            }
            event = new EndpointListUpdate(kind, entries);
        } else {
            event = raw.event();
        }
        return event == null ? List.of() : brain.handle(event, reader.time);
    }

    private static void write(BalancerAction action, JsonGenerator out) throws IOException {
        out.writeStartObject();
        action.dispatch(new ActionWriter(out));
        out.writeEndObject();
    }

    static EndpointState phase(String text) {
        return switch (text) {
            case "in_service" -> EndpointState.READY;
            case "terminating" -> EndpointState.DRAINING;
            case "terminated" -> EndpointState.GONE;
            default -> null;
        };
    }
}
