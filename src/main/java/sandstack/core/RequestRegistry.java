package sandstack.core;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.logging.Logger;
import sandstack.decisions.BalancerEvent.ClientDisconnected;
import sandstack.decisions.BalancerEvent.ConnectRequested;
import sandstack.decisions.Idempotency;
import sandstack.decisions.RequestClass;

/**
 * The requests in flight. Gives each accepted request that is not served exactly one final answer. Used on the event
 * loop's thread only.
 */
final class RequestRegistry {
    /**
     * Upper bound of the margin between the relay's deadline and the client's. The client's timeout starts when it
     * sends its request, and the answer has to arrive within it, so the relay's deadline is earlier by this margin, or
     * by an eighth of the timeout if that is less.
     */
    private static final long MAX_ANSWER_MARGIN_MICROS = 60_000;

    private static final int ANSWER_MARGIN_DIVISOR = 8;

    private static final Logger LOG = Logger.getLogger("sandstack.relay");

    private final LongSupplier clock;
    private final DeadlineScheduler deadlines;
    private final ActiveSettings settings;
    private final BalancerDriver balancer;
    private final RelayMetrics metrics;
    private final RequestIds requestIds;
    private final Map<String, ClientSession> clients = new LinkedHashMap<>();
    private long lastId;

    RequestRegistry(
            LongSupplier clock,
            DeadlineScheduler deadlines,
            ActiveSettings settings,
            BalancerDriver balancer,
            RelayMetrics metrics,
            RequestIds requestIds) {
        this.clock = clock;
        this.deadlines = deadlines;
        this.settings = settings;
        this.balancer = balancer;
        this.metrics = metrics;
        this.requestIds = requestIds;
    }

    /** The client of a request; null if the request has ended. */
    ClientSession get(String requestId) {
        return clients.get(requestId);
    }

    /** A live view of the clients with a request in flight, in order of arrival. */
    Collection<ClientSession> clients() {
        return clients.values();
    }

    /**
     * Adds the client's request, with its deadline, its attempt limit and an id that is unique in this process; the
     * client's own id may be in use on another connection too.
     */
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

    /** Schedules {@link #failIfOverdue} in case no answer is given. */
    void scheduleAnswer(ClientSession client) {
        long marginMicros = answerMarginMicros(client.request().timeoutMicros());
        client.setAnswerTimer(
                deadlines.schedule(client.deadlineMicros() + marginMicros / 2, () -> failIfOverdue(client)));
    }

    /**
     * Passes the request to the load balancer, unless it has ended meanwhile. A request that is not idempotent is
     * failed if an earlier one with its id may have been executed, here or in another process of this relay: its client
     * may have left before the answer.
     */
    void submit(ClientSession client) {
        String id = client.requestId();
        if (id == null || isIdempotent(client)) {
            enqueue(client);
            return;
        }
        requestIds.claim(id, isFree -> {
            if (!isFree) {
                LOG.info(() -> "request rejected, its id was used before request=" + client.id() + " id=" + id);
                failWithoutBalancer(client);
            } else if (client.isFinished()) {
                requestIds.release(id);
            } else {
                client.setClaimedId(id);
                enqueue(client);
            }
        });
    }

    private boolean isIdempotent(ClientSession client) {
        RequestClass requestClass =
                settings.balancerSettings().classes().get(client.request().classIndex());
        return requestClass.idempotency() == Idempotency.IDEMPOTENT;
    }

    private void enqueue(ClientSession client) {
        if (!client.isFinished()) {
            balancer.enqueue(connectRequested(client));
        }
    }

    /** Releases the id of a request that has ended, if a request with that id may be sent again. */
    private void releaseId(ClientSession client) {
        if (client.claimedId() != null && !client.isPossiblyExecuted()) {
            requestIds.release(client.claimedId());
        }
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

    /**
     * Fails a request that is still waiting after its deadline. The load balancer should have answered it by then; this
     * ensures an answer even if it has not.
     */
    private void failIfOverdue(ClientSession client) {
        if (client.isFinished() || client.isEstablished()) {
            return;
        }
        LOG.warning("request overdue request=" + client.id());
        failWithoutBalancer(client);
    }

    /**
     * Answers a request as failed without the load balancer's decision, and reports the client to the load balancer as
     * disconnected, so that it drops the request.
     */
    void failWithoutBalancer(ClientSession client) {
        balancer.enqueue(new ClientDisconnected(client.id()));
        answer(client, Rejection.FAILED);
    }

    /** Answers a request that was never registered. */
    void rejectUnregistered(ClientSession client, Rejection rejection) {
        client.finish();
        metrics.requestNotServed(settings.className(client.request()), rejection.kind());
        client.sendRejection(rejection);
    }

    /** Sends the final answer; no effect if the request has ended. */
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
        if (client.claimedId() != null && rejection.kind() == Rejection.Kind.REJECTED) {
            // the client is told that a retry is harmless
            requestIds.release(client.claimedId());
        } else {
            releaseId(client);
        }
        LOG.fine(() -> "final answer sent request=" + client.id() + " client_key="
                + client.request().clientKey() + " answer=" + rejection.kind()
                + (rejection.reason() == null ? "" : " reason=" + rejection.reason()) + " retry_after_ms="
                + rejection.retryAfterMillis() + " attempts=" + client.attemptCount());
        metrics.requestNotServed(settings.className(client.request()), rejection.kind());
        client.sendRejection(rejection);
    }

    /** Called when the client has disconnected; no effect if it has no request in flight. */
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
        releaseId(client);
    }

    /** Removes a request that has ended; nothing more is sent for it. */
    void finish(ClientSession client) {
        clients.remove(client.id());
        client.finish();
    }
}
