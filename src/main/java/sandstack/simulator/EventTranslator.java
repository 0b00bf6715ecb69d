package sandstack.simulator;

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
import sandstack.decisions.EndpointListKind;

/** Translates the simulator's events into events of the load balancer. Stateless. */
final class EventTranslator {
    // bits of the field "bitmap" of a connection request
    private static final int EXPECTED_LOAD_VALID = 1;
    private static final int MID_FLOW = 8;
    private static final int RECONNECTING = 16;

    // values of the field "sort" of a connection update
    private static final int LOAD_UPDATE = 1;
    private static final int DELAY_UPDATE = 2;

    private static final int MICROS_PER_MILLI = 1000;

    private EventTranslator() {}

    /**
     * The corresponding event of the load balancer; null if this class does not define the event type, or the sort of a
     * connection update.
     */
    static BalancerEvent translate(EventFields event) throws MalformedMessageException {
        return switch (event.type()) {
            case "Ingress" -> connectRequested(event);
            case "Handover" -> new ConnectionAdopted(connectRequested(event), event.text("server"));
            case "Accepted" -> new ConnectionEstablished(
                    event.text("corr"), attempt(event), event.text("server"), event.integer("duration_us"));
            case "UpdateOf" -> connectionUpdate(event);
            case "Settled" -> attemptEnded(event);
            case "Expired" -> new ClientDisconnected(event.text("corr"));
            case "DeadlineHit" -> timerExpired(event);
            case "ProbeDone" -> new HealthCheckEnded(
                    event.text("server"), outcome(event), event.integer("duration_us"), event.loadReport());
            case "Message" -> new PeerMessage((int) event.integer("neighbour"), event.text("bytes"));
            default -> null;
        };
    }

    /** The kind of an endpoint list event, from its field {@code form}. */
    static EndpointListKind listKind(EventFields event) throws MalformedMessageException {
        return switch (event.text("form")) {
            case "Partial" -> EndpointListKind.DELTA;
            case "Complete" -> EndpointListKind.FULL;
            case "Persisted" -> EndpointListKind.CACHED;
            case "Error" -> EndpointListKind.FAILED;
            default -> throw event.unknownValue("form");
        };
    }

    private static ConnectRequested connectRequested(EventFields event) throws MalformedMessageException {
        long bits = event.integerOrDefault("bitmap", 0);
        boolean hasLoad = (bits & EXPECTED_LOAD_VALID) != 0 && event.has("work_hint_us");
        double load = hasLoad ? event.number("work_hint_us") : 0;
        return new ConnectRequested(
                event.text("corr"),
                (int) event.integer("kind"),
                (int) event.integerOrDefault("org", 0),
                event.optionalText("path_key"),
                event.optionalText("group"),
                event.integer("client_deadline_us"),
                load,
                (bits & MID_FLOW) != 0,
                (bits & RECONNECTING) != 0);
    }

    /** The number of the attempt within its request, from 0. */
    private static int attempt(EventFields event) throws MalformedMessageException {
        return (int) event.integer("go");
    }

    /** A load or delay update of an established connection; null for an unknown value of {@code sort}. */
    private static BalancerEvent connectionUpdate(EventFields event) throws MalformedMessageException {
        long sort = event.integer("sort");
        String requestId = event.text("corr");
        int attempt = attempt(event);
        if (sort == LOAD_UPDATE) {
            return new LoadReported(requestId, attempt, event.text("server"), event.number("value"));
        }
        if (sort == DELAY_UPDATE) {
            String server = event.text("server");
            double delayMicros = event.number("value") * MICROS_PER_MILLI;
            return new DelayReported(requestId, attempt, server, delayMicros);
        }
        return null;
    }

    private static AttemptEnded attemptEnded(EventFields event) throws MalformedMessageException {
        return new AttemptEnded(
                event.text("corr"),
                attempt(event),
                event.text("server"),
                outcome(event),
                event.flag("done_flag"),
                event.integer("duration_us"),
                event.loadReport());
    }

    private static AttemptOutcome outcome(EventFields event) throws MalformedMessageException {
        return switch (event.text("ending")) {
            case "completed" -> AttemptOutcome.OK;
            case "errored" -> AttemptOutcome.ERROR;
            case "saturated" -> AttemptOutcome.REJECTED;
            case "overdue" -> AttemptOutcome.TIMEOUT;
            case "refused_conn" -> AttemptOutcome.CONNECT_FAILED;
            case "severed" -> AttemptOutcome.RESET;
            case "recalled" -> AttemptOutcome.CANCELLED;
            case "superseded" -> AttemptOutcome.NOT_SENT;
            default -> throw event.unknownValue("ending");
        };
    }

    /** The expiry of a timer, identified by the token that {@link ActionWriter} wrote as its {@code handle}. */
    private static TimerExpired timerExpired(EventFields event) throws MalformedMessageException {
        try {
            return new TimerExpired(Long.parseLong(event.text("handle")));
        } catch (NumberFormatException e) {
            throw event.malformed(": handle was never set by an instance");
        }
    }
}
