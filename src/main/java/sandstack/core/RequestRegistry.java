package sandstack.core;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.logging.Logger;
import sandstack.decisions.BalancerEvent.ClientDisconnected;
import sandstack.decisions.BalancerEvent.ConnectRequested;

/**
 * The requests in flight and their final answers: each accepted request that is not served gets exactly one. Used on
 * the event loop's thread only.
 */
final class RequestRegistry {
    /**
     * The client's timeout runs from when it sent its line, and an answer counts only if it has arrived: the relay
     * stops waiting this much earlier, or an eighth of the timeout where that is less.
     */
    private static final long MAX_ANSWER_MARGIN_MICROS = 60_000;

    private static final int ANSWER_MARGIN_DIVISOR = 8;

    private static final Logger LOG = Logger.getLogger("sandstack.relay");

    private final LongSupplier clock;
    private final DeadlineScheduler deadlines;
    private final ActiveSettings settings;
    private final BalancerDriver balancer;
    private final RelayMetrics metrics;
    private final Map<String, ClientSession> clients = new LinkedHashMap<>();
    private long lastId;

    RequestRegistry(
            LongSupplier clock,
            DeadlineScheduler deadlines,
            ActiveSettings settings,
            BalancerDriver balancer,
            RelayMetrics metrics) {
        this.clock = clock;
        this.deadlines = deadlines;
        this.settings = settings;
        this.balancer = balancer;
        this.metrics = metrics;
    }

    /** The client of this request; null where the request has ended. */
    ClientSession get(String requestId) {
        return clients.get(requestId);
    }

    /** All clients with a request in flight, in order of arrival; a view. */
    Collection<ClientSession> clients() {
        return clients.values();
    }

    /** Gives the client's request an id of the relay's own: a client's id may be in use on another connection. */
    void register(ClientSession client) {
        long timeoutMicros = client.request().timeoutMicros();
        client.register(
                Long.toString(++lastId),
                settings.maxAttempts(),
                clock.getAsLong() + timeoutMicros - answerMarginMicros(timeoutMicros));
        clients.put(client.id(), client);
    }

    private static long answerMarginMicros(long timeoutMicros) {
        return Math.min(MAX_ANSWER_MARGIN_MICROS, timeoutMicros / ANSWER_MARGIN_DIVISOR);
    }

    /** Asks the load balancer for a feed server. */
    void submit(ClientSession client) {
        long marginMicros = answerMarginMicros(client.request().timeoutMicros());
        client.setAnswerTimer(
                deadlines.schedule(client.deadlineMicros() + marginMicros / 2, () -> failIfOverdue(client)));
        balancer.enqueue(connectRequested(client));
    }

    static ConnectRequested connectRequested(ClientSession client) {
        ClientRequest request = client.request();
        return new ConnectRequested(
                client.id(),
                request.classIndex(),
                request.tenantIndex(),
                request.clientKey(),
                request.group(),
                client.deadlineMicros(),
                request.expectedLoad(),
                false,
                request.reconnecting());
    }

    /** The load balancer answers each request by its deadline; a client is not to depend on that. */
    private void failIfOverdue(ClientSession client) {
        if (client.isFinished() || client.isEstablished()) {
            return;
        }
        LOG.warning("request overdue request=" + client.id());
        failWithoutBalancer(client);
    }

    /**
     * Answers a request as failed without a decision of the load balancer, which is notified that its client has left.
     */
    void failWithoutBalancer(ClientSession client) {
        balancer.enqueue(new ClientDisconnected(client.id()));
        answer(client, Rejection.FAILED);
    }

    /** Answers a request that has no id and is not in flight. */
    void rejectUnregistered(ClientSession client, Rejection rejection) {
        client.finish();
        metrics.requestRejected(settings.className(client.request()), rejection.kind());
        client.sendRejection(rejection);
    }

    /** Gives the final answer; without effect where the request has ended. */
    void answer(String requestId, Rejection rejection) {
        ClientSession client = clients.get(requestId);
        if (client != null) {
            answer(client, rejection);
        }
    }

    void answer(ClientSession client, Rejection rejection) {
        if (client.isFinished()) {
            return;
        }
        finish(client);
        client.cancelAttempt();
        LOG.fine(() -> "final answer sent request=" + client.id() + " client_key="
                + client.request().clientKey() + " answer=" + rejection.kind()
                + (rejection.reason() == null ? "" : " reason=" + rejection.reason()) + " retry_after_ms="
                + rejection.retryAfterMillis() + " attempts=" + client.attemptCount());
        metrics.requestRejected(settings.className(client.request()), rejection.kind());
        client.sendRejection(rejection);
    }

    /** The client's side has ended; without effect where nothing is in flight for it. */
    void disconnected(ClientSession client) {
        if (client.isFinished() || !client.isRegistered()) {
            return;
        }
        boolean established = client.isEstablished();
        finish(client);
        if (!established && !client.request().isAdopted()) {
            balancer.enqueue(new ClientDisconnected(client.id()));
        }
        client.cancelAttempt();
    }

    /** The request has ended: nothing more is owed for it. */
    void finish(ClientSession client) {
        clients.remove(client.id());
        client.finish();
    }
}
