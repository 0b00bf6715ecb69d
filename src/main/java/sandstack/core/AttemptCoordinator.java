package sandstack.core;

import java.util.function.LongSupplier;
import java.util.logging.Logger;
import sandstack.decisions.BalancerAction.StartAttempt;
import sandstack.decisions.BalancerEvent.AttemptEnded;
import sandstack.decisions.BalancerEvent.ConnectionAdopted;
import sandstack.decisions.BalancerEvent.ConnectionEstablished;
import sandstack.decisions.BalancerEvent.DelayReported;
import sandstack.decisions.BalancerEvent.LoadReported;
import sandstack.decisions.EndpointState;

/**
 * Starts connection attempts as the load balancer decides, and reports their outcomes, loads and delays to it. Used on
 * the event loop's thread only.
 */
final class AttemptCoordinator {
    /** Delay before a failed attempt to adopt a connection is repeated. */
    private static final long ADOPTION_RETRY_DELAY_MICROS = 250_000;
    /**
     * The attempt number reported for every adopted connection: the load balancer is notified of the connection only
     * once it is established, and counts that attempt as the first.
     */
    private static final int ADOPTED_ATTEMPT_NUMBER = 0;

    private static final Logger LOG = Logger.getLogger("sandstack.relay");

    private final LongSupplier clock;
    private final DeadlineScheduler deadlines;
    private final ActiveSettings settings;
    private final BalancerDriver balancer;
    private final RelayMetrics metrics;
    private final RequestRegistry requests;
    private final EndpointListUpdater endpointListUpdater;
    private final GracefulShutdown shutdown;

    AttemptCoordinator(
            LongSupplier clock,
            DeadlineScheduler deadlines,
            ActiveSettings settings,
            BalancerDriver balancer,
            RelayMetrics metrics,
            RequestRegistry requests,
            EndpointListUpdater endpointListUpdater,
            GracefulShutdown shutdown) {
        this.clock = clock;
        this.deadlines = deadlines;
        this.settings = settings;
        this.balancer = balancer;
        this.metrics = metrics;
        this.requests = requests;
        this.endpointListUpdater = endpointListUpdater;
        this.shutdown = shutdown;
    }

    /**
     * Starts the attempt. If that is not possible, reports in the same turn to the load balancer that nothing was sent.
     */
    void start(StartAttempt action) {
        ClientSession client = requests.get(action.requestId());
        if (client != null) {
            client.checkConnected();
        }
        if (client == null || client.isFinished()) {
            // the load balancer counts the attempt as in flight until it is reported as ended
            balancer.enqueue(notSent(action, 0, true));
            return;
        }
        long remainingMicros = client.deadlineMicros() - clock.getAsLong();
        EndpointRegistry.Endpoint endpoint = endpointListUpdater.endpoint(action.serverId());
        if (client.attempt() != null
                || endpoint == null
                || remainingMicros <= 0
                || !client.hasAttemptsLeft(settings.maxAttempts())) {
            balancer.enqueue(notSent(action, client.nextAttemptNumber(), false));
            return;
        }
        long timeoutMicros =
                action.timeoutMicros() <= 0 ? remainingMicros : Math.min(remainingMicros, action.timeoutMicros());
        start(client, endpoint, timeoutMicros);
    }

    private static AttemptEnded notSent(StartAttempt action, int attemptNumber, boolean requestFinished) {
        return new AttemptEnded(
                action.requestId(),
                attemptNumber,
                action.serverId(),
                ConnectionOutcome.NOT_SENT.outcome(),
                requestFinished,
                0,
                null);
    }

    /**
     * Reconnects a client whose connection predates this process, and only to the feed server that it was established
     * at.
     */
    void adopt(ClientSession client) {
        if (client.isFinished() || client.attempt() != null) {
            return;
        }
        EndpointRegistry.Endpoint endpoint =
                endpointListUpdater.endpoint(client.request().adoptedFrom());
        long remainingMicros = client.deadlineMicros() - clock.getAsLong();
        if (endpoint == null || remainingMicros <= 0 || !client.hasAttemptsLeft(settings.maxAttempts())) {
            requests.answer(client, Rejection.FAILED);
            return;
        }
        start(client, endpoint, remainingMicros);
    }

    private void start(ClientSession client, EndpointRegistry.Endpoint endpoint, long timeoutMicros) {
        ConnectionAttempt attempt =
                new ConnectionAttempt(this, client, endpoint, client.nextAttemptNumber(), timeoutMicros);
        client.attemptStarted(attempt);
        LOG.fine(() -> {
            ClientRequest request = client.request();
            return "attempt started request=" + client.id() + " attempt=" + attempt.number() + " client_key="
                    + request.clientKey() + " class=" + request.classIndex() + " group=" + request.group()
                    + " server=" + endpoint.entry().serverId() + " adopted=" + request.isAdopted();
        });
        attempt.start();
    }

    long nowMicros() {
        return clock.getAsLong();
    }

    DeadlineScheduler deadlines() {
        return deadlines;
    }

    long connectTimeoutMicros() {
        return settings.connectTimeoutMicros();
    }

    /**
     * Whether the attempt's feed server must not get this client's request because it is draining or no longer listed.
     * Always false for an adopted connection, which a draining feed server still accepts.
     */
    boolean isServerUnavailableTo(ConnectionAttempt attempt) {
        EndpointRegistry.Endpoint endpoint = endpointListUpdater.endpoint(serverId(attempt));
        return !attempt.client().request().isAdopted()
                && (endpoint == null || endpoint.entry().state() != EndpointState.READY);
    }

    /** Called when the request's last byte has been written to the feed server. */
    void requestWritten(ConnectionAttempt attempt) {
        metrics.requestWritten(settings.className(attempt.client().request()));
    }

    void established(ConnectionAttempt attempt) {
        ClientSession client = attempt.client();
        client.cancelAnswerTimer();
        metrics.connectionEstablished(settings.className(client.request()));
        LOG.fine(() -> "connection established request=" + client.id() + " attempt=" + attempt.number() + " server="
                + serverId(attempt) + " elapsed_us=" + elapsedMicros(attempt));
        if (client.request().isAdopted()) {
            balancer.enqueue(new ConnectionAdopted(RequestRegistry.connectRequested(client), serverId(attempt)));
        } else {
            balancer.enqueue(new ConnectionEstablished(
                    client.id(), attempt.number(), serverId(attempt), elapsedMicros(attempt)));
        }
        if (shutdown.hasBegun()) {
            shutdown.scheduleMigration(client);
        }
    }

    /** Called when an attempt ends without an established connection. */
    void attemptFailed(ConnectionAttempt attempt, ConnectionOutcome outcome) {
        ClientSession client = attempt.client();
        detach(attempt, outcome);
        if (!client.request().isAdopted()) {
            reportEnded(attempt, outcome, client.isFinished());
        } else if (!client.isFinished()) {
            // the load balancer does not track an adopted connection before it is established: retry here
            deadlines.schedule(clock.getAsLong() + ADOPTION_RETRY_DELAY_MICROS, () -> adopt(client));
        }
    }

    /** Called when an established connection ends. */
    void connectionEnded(ConnectionAttempt attempt, ConnectionOutcome outcome) {
        detach(attempt, outcome);
        reportEnded(attempt, outcome, true);
        requests.finish(attempt.client());
    }

    private void detach(ConnectionAttempt attempt, ConnectionOutcome outcome) {
        ClientSession client = attempt.client();
        client.attemptEnded();
        metrics.attemptEnded(outcome);
        LOG.fine(() -> "attempt ended request=" + client.id() + " attempt=" + attempt.number() + " server="
                + serverId(attempt) + " outcome=" + outcome);
    }

    private void reportEnded(ConnectionAttempt attempt, ConnectionOutcome outcome, boolean requestFinished) {
        if (outcome == ConnectionOutcome.SERVER_DRAINING) {
            endpointListUpdater.assumeDraining(attempt.endpoint());
        }
        balancer.enqueue(new AttemptEnded(
                attempt.client().id(),
                balancerAttemptNumber(attempt),
                serverId(attempt),
                outcome.outcome(),
                requestFinished,
                elapsedMicros(attempt),
                null));
    }

    void loadReported(ConnectionAttempt attempt, double load) {
        String requestId = attempt.client().id();
        LOG.finer(() -> "load reported request=" + requestId + " attempt=" + attempt.number() + " server="
                + serverId(attempt) + " load=" + load);
        balancer.enqueue(new LoadReported(requestId, balancerAttemptNumber(attempt), serverId(attempt), load));
    }

    void delayReported(ConnectionAttempt attempt, double delayMicros) {
        LOG.fine(() -> "delay reported server=" + serverId(attempt) + " delay_us=" + Math.round(delayMicros));
        balancer.enqueue(new DelayReported(
                attempt.client().id(), balancerAttemptNumber(attempt), serverId(attempt), delayMicros));
    }

    private static int balancerAttemptNumber(ConnectionAttempt attempt) {
        return attempt.client().request().isAdopted() ? ADOPTED_ATTEMPT_NUMBER : attempt.number();
    }

    private static String serverId(ConnectionAttempt attempt) {
        return attempt.endpoint().entry().serverId();
    }

    private long elapsedMicros(ConnectionAttempt attempt) {
        return clock.getAsLong() - attempt.startedAtMicros();
    }
}
