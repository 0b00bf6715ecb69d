package sandstack.simulator;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sandstack.config.SettingsReader;
import sandstack.decisions.AttemptOutcome;
import sandstack.decisions.BalancerEvent;
import sandstack.decisions.BalancerEvent.AttemptEnded;
import sandstack.decisions.BalancerEvent.ClientDisconnected;
import sandstack.decisions.BalancerEvent.ConnectRequested;
import sandstack.decisions.BalancerEvent.ConnectionAdopted;
import sandstack.decisions.BalancerEvent.ConnectionEstablished;
import sandstack.decisions.BalancerEvent.DelayReported;
import sandstack.decisions.BalancerEvent.HealthCheckEnded;
import sandstack.decisions.BalancerEvent.LoadReported;
import sandstack.decisions.BalancerEvent.PeerMessage;
import sandstack.decisions.BalancerEvent.TimerExpired;
import sandstack.decisions.EndpointEntry;
import sandstack.decisions.EndpointListKind;
import sandstack.decisions.EndpointState;

/** Reads one batch line of the wire; every complaint names the batch and the field. */
final class BatchReader {
    private static final int HINT_VALID = 1;
    private static final int MID_FLOW = 8;
    private static final int RETURNED = 16;

    long time;
    long serial;
    final List<Part> parts = new ArrayList<>();
    private boolean inBatch;

    /** The events of one instance in a batch. */
    static final class Part {
        int who;
        final List<Raw> events = new ArrayList<>();
    }

    MalformedMessageException trouble(String what) {
        return new MalformedMessageException((inBatch ? "batch " + serial : "after batch " + serial) + ": " + what);
    }

    void batch(JsonParser in) throws IOException, MalformedMessageException {
        inBatch = false;
        parts.clear();
        expect(in.currentToken(), JsonToken.START_OBJECT, "the batch is not an object");
        boolean timed = false;
        boolean numbered = false;
        boolean filled = false;
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            switch (name) {
                case "time_us" -> {
                    time = whole(in, "time_us");
                    timed = true;
                }
                case "serial" -> {
                    serial = whole(in, "serial");
                    numbered = true;
                    inBatch = true;
                }
                case "parts" -> {
                    expect(in.currentToken(), JsonToken.START_ARRAY, "parts is not an array");
                    while (in.nextToken() != JsonToken.END_ARRAY) {
                        parts.add(part(in));
                    }
                    filled = true;
                }
                default -> in.skipChildren();
            }
        }
        if (!timed || !numbered || !filled) {
            throw trouble("lacks " + (!timed ? "time_us" : !numbered ? "serial" : "parts"));
        }
    }

    private void expect(JsonToken got, JsonToken wanted, String what) throws MalformedMessageException {
        if (got != wanted) {
            throw trouble(what);
        }
    }

    private long whole(JsonParser in, String field) throws IOException, MalformedMessageException {
        if (in.currentToken() != JsonToken.VALUE_NUMBER_INT) {
            throw trouble(field + " is not an integer");
        }
        return in.getLongValue();
    }

    private Part part(JsonParser in) throws IOException, MalformedMessageException {
        expect(in.currentToken(), JsonToken.START_OBJECT, "an item of parts is not an object");
        Part part = new Part();
        boolean named = false;
        boolean filled = false;
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            if (name.equals("who")) {
                part.who = (int) whole(in, "who");
                named = true;
            } else if (name.equals("happened")) {
                expect(in.currentToken(), JsonToken.START_ARRAY, "happened is not an array");
                while (in.nextToken() != JsonToken.END_ARRAY) {
                    part.events.add(raw(in));
                }
                filled = true;
            } else {
                in.skipChildren();
            }
        }
        if (!named || !filled) {
            throw trouble("a part lacks " + (named ? "happened" : "who"));
        }
        return part;
    }

    private Raw raw(JsonParser in) throws IOException, MalformedMessageException {
        expect(in.currentToken(), JsonToken.START_OBJECT, "an item of happened is not an object");
        Raw raw = new Raw();
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            switch (in.nextToken()) {
                case START_OBJECT -> {
                    if (name.equals("profile_data")) {
                        raw.profile = new SettingsReader();
                        raw.profile.read(in);
                    } else {
                        in.skipChildren();
                    }
                }
                case START_ARRAY -> array(in, name, raw);
                case VALUE_STRING -> {
                    if (name.equals("t")) {
                        raw.type = in.getText();
                    } else {
                        raw.fields.put(name, in.getText());
                    }
                }
                case VALUE_NUMBER_INT -> raw.fields.put(name, in.getLongValue());
                case VALUE_NUMBER_FLOAT -> raw.fields.put(name, in.getDoubleValue());
                case VALUE_TRUE -> raw.fields.put(name, Boolean.TRUE);
                case VALUE_FALSE -> raw.fields.put(name, Boolean.FALSE);
                default -> {}
            }
        }
        if (raw.type == null) {
            throw trouble("an event lacks t");
        }
        if (raw.type.equals("Up") && raw.profile == null) {
            throw trouble("Up lacks profile_data");
        }
        return raw;
    }

    private void array(JsonParser in, String name, Raw raw) throws IOException, MalformedMessageException {
        if (name.equals("stats")) {
            double[] row = new double[4];
            int n = 0;
            while (in.nextToken() != JsonToken.END_ARRAY) {
                if (n == row.length || !in.currentToken().isNumeric()) {
                    throw trouble("stats is not a row of at most " + row.length + " numbers");
                }
                row[n++] = in.getDoubleValue();
            }
            raw.fields.put(name, java.util.Arrays.copyOf(row, n));
        } else if (name.equals("items")) {
            List<EndpointEntry> items = new ArrayList<>();
            while (in.nextToken() != JsonToken.END_ARRAY) {
                items.add(entry(in));
            }
            raw.fields.put(name, items);
        } else {
            in.skipChildren();
        }
    }

    private EndpointEntry entry(JsonParser in) throws IOException, MalformedMessageException {
        expect(in.currentToken(), JsonToken.START_OBJECT, "an item of items is not an object");
        String server = null;
        EndpointState phase = null;
        long zone = -1;
        long cell = 0;
        long kind = 0;
        long since = 0;
        double rating = 1;
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            JsonToken value = in.nextToken();
            if (value == JsonToken.VALUE_NULL) {
                continue;
            }
            switch (name) {
                case "server" -> {
                    expect(value, JsonToken.VALUE_STRING, "items: server is not a string");
                    server = in.getText();
                }
                case "phase" -> {
                    phase = SimulatorSession.phase(in.getText());
                    if (phase == null) {
                        throw trouble("items: phase has no known value");
                    }
                }
                case "dc" -> zone = whole(in, "items: dc");
                case "group" -> cell = whole(in, "items: group");
                case "shape" -> kind = whole(in, "items: shape");
                case "since_us" -> since = whole(in, "items: since_us");
                case "rating" -> {
                    if (!value.isNumeric()) {
                        throw trouble("items: rating is not a number");
                    }
                    rating = in.getDoubleValue();
                }
                default -> in.skipChildren();
            }
        }
        if (server == null || phase == null || zone < 0) {
            throw trouble("items: an entry lacks " + (server == null ? "server" : phase == null ? "phase" : "dc"));
        }
        return new EndpointEntry(server, (int) zone, (int) cell, (int) kind, since, phase, rating);
    }

    /** One event as read, before its fields are checked. */
    final class Raw {
        String type;
        SettingsReader profile;
        final Map<String, Object> fields = new HashMap<>();

        long number(String field) throws MalformedMessageException {
            Object v = fields.get(field);
            if (v instanceof Long n) {
                return n;
            }
            throw trouble(type + (v == null ? " lacks " : ": not an integer: ") + field);
        }

        private long number(String field, long absent) throws MalformedMessageException {
            return fields.get(field) == null ? absent : number(field);
        }

        private double real(String field) throws MalformedMessageException {
            Object v = fields.get(field);
            if (v instanceof Number n) {
                return n.doubleValue();
            }
            throw trouble(type + (v == null ? " lacks " : ": not a number: ") + field);
        }

        private String text(String field) throws MalformedMessageException {
            String v = optional(field);
            if (v == null) {
                throw trouble(type + " lacks " + field);
            }
            return v;
        }

        private String optional(String field) throws MalformedMessageException {
            Object v = fields.get(field);
            if (v == null || v instanceof String) {
                return (String) v;
            }
            throw trouble(type + ": not a string: " + field);
        }

        private boolean flag(String field) throws MalformedMessageException {
            Object v = fields.get(field);
            if (v == null || v instanceof Boolean) {
                return v != null && (Boolean) v;
            }
            throw trouble(type + ": not a bool: " + field);
        }

        private double[] row() throws MalformedMessageException {
            Object v = fields.get("stats");
            if (v == null || v instanceof double[]) {
                return (double[]) v;
            }
            throw trouble(type + ": not a row: stats");
        }

        int tableIndex(int tables) throws MalformedMessageException {
            long table = number("table");
            if (table < 0 || table >= tables) {
                throw trouble(type + ": table is out of range");
            }
            return (int) table;
        }

        @SuppressWarnings("unchecked")
        List<EndpointEntry> items(String field) throws MalformedMessageException {
            Object v = fields.get(field);
            if (v instanceof List) {
                return (List<EndpointEntry>) v;
            }
            throw trouble(type + " lacks " + field);
        }

        EndpointListKind listKind() throws MalformedMessageException {
            return switch (text("form")) {
                case "Partial" -> EndpointListKind.DELTA;
                case "Complete" -> EndpointListKind.FULL;
                case "Persisted" -> EndpointListKind.CACHED;
                case "Error" -> EndpointListKind.FAILED;
                default -> throw trouble(type + ": form has no known value");
            };
        }

        private AttemptOutcome outcome() throws MalformedMessageException {
            return switch (text("ending")) {
                case "completed" -> AttemptOutcome.OK;
                case "errored" -> AttemptOutcome.ERROR;
                case "saturated" -> AttemptOutcome.REJECTED;
                case "overdue" -> AttemptOutcome.TIMEOUT;
                case "refused_conn" -> AttemptOutcome.CONNECT_FAILED;
                case "severed" -> AttemptOutcome.RESET;
                case "recalled" -> AttemptOutcome.CANCELLED;
                case "superseded" -> AttemptOutcome.NOT_SENT;
                default -> throw trouble(type + ": ending has no known value");
            };
        }

        private ConnectRequested request() throws MalformedMessageException {
            long bits = number("bitmap", 0);
            double load = (bits & HINT_VALID) != 0 && fields.get("work_hint_us") != null ? real("work_hint_us") : 0;
            return new ConnectRequested(
                    text("corr"),
                    (int) number("kind"),
                    (int) number("org", 0),
                    optional("path_key"),
                    optional("group"),
                    number("client_deadline_us"),
                    load,
                    (bits & MID_FLOW) != 0,
                    (bits & RETURNED) != 0);
        }

        private BalancerEvent update() throws MalformedMessageException {
            long sort = number("sort");
            String id = text("corr");
            int attempt = (int) number("go");
            if (sort == 1) {
                return new LoadReported(id, attempt, text("server"), real("value"));
            }
            return sort == 2 ? new DelayReported(id, attempt, text("server"), real("value") * 1000) : null;
        }

        /** The event in the module's terms; null for one that this version of the wire does not name. */
        BalancerEvent event() throws MalformedMessageException {
            return switch (type) {
                case "Ingress" -> request();
                case "Handover" -> new ConnectionAdopted(request(), text("server"));
                case "Accepted" -> new ConnectionEstablished(
                        text("corr"), (int) number("go"), text("server"), number("duration_us"));
                case "UpdateOf" -> update();
                case "Settled" -> new AttemptEnded(
                        text("corr"),
                        (int) number("go"),
                        text("server"),
                        outcome(),
                        flag("done_flag"),
                        number("duration_us"),
                        row());
                case "Expired" -> new ClientDisconnected(text("corr"));
                case "DeadlineHit" -> timer();
                case "ProbeDone" -> new HealthCheckEnded(text("server"), outcome(), number("duration_us"), row());
                case "Message" -> new PeerMessage((int) number("neighbour"), text("bytes"));
                default -> null;
            };
        }

        private BalancerEvent timer() throws MalformedMessageException {
            try {
                return new TimerExpired(Long.parseLong(text("handle")));
            } catch (NumberFormatException e) {
                throw trouble("DeadlineHit: handle was never set by an instance");
            }
        }
    }
}
