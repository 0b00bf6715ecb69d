package sandstack.core;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.logging.Logger;

/**
 * Drains the relay: migrates its established clients over a time span, answers the remaining requests before the
 * platform kills the process, and calls back once nothing is in flight. Used on the event loop's thread only.
 */
final class GracefulShutdown {
    /** The platform still sends new clients for a moment after SIGTERM; migrations start after this delay. */
    private static final long MIGRATION_DELAY_MICROS = 500_000;
    /**
     * Limit of the time from SIGTERM to the last migration. Between SIGTERM and SIGKILL the platform waits for the
     * longest request deadline, but at most this long, and for {@link #KILL_DELAY_MICROS}.
     */
    private static final long MAX_LAST_MIGRATION_MICROS = 3_000_000;

    private static final long KILL_DELAY_MICROS = 700_000;
    /** How long before SIGKILL the process ends at the latest; covers a relay that is held up for 0.15 s. */
    private static final long EXIT_MARGIN_MICROS = 200_000;
    /**
     * Migrations happen at random times within this span, so that clients do not reconnect all at once. The span ends
     * as late as the platform allows: when relays are restarted one after another, a client that migrates early may
     * connect to the relay that is restarted next, or find none.
     */
    private static final long MIGRATION_SPAN_MICROS = 1_200_000;
    /** Time from the last migration until the requests still in flight are answered. */
    private static final long FINAL_ANSWER_DELAY_MICROS = 200_000;
    /** The Retry-After of requests that arrive after the drain is random up to this value, to spread the retries. */
    private static final long MAX_RETRY_AFTER_MILLIS = 500;

    private static final Logger LOG = Logger.getLogger("sandstack.relay");

    private final LongSupplier clock;
    private final DeadlineScheduler deadlines;
    private final ActiveSettings settings;
    private final RequestRegistry requests;
    private final SplittableRandom random;
    private boolean begun;
    private long startedAtMicros;
    /**
     * Fixed when the shutdown begins, because the platform applies the deadline from the settings in force when it sent
     * SIGTERM.
     */
    private long lastMigrationMicros;

    private long exitDeadlineMicros;
    private IntSupplier pendingPeers = () -> 0;
    /** Called once nothing is in flight; null before the shutdown and after that call. */
    private Runnable whenDrained;

    GracefulShutdown(
            LongSupplier clock,
            DeadlineScheduler deadlines,
            ActiveSettings settings,
            RequestRegistry requests,
            SplittableRandom random) {
        this.clock = clock;
        this.deadlines = deadlines;
        this.settings = settings;
        this.requests = requests;
        this.random = random;
    }

    boolean hasBegun() {
        return begun;
    }

    /** Whether the drain callback has run: the process is about to exit, and a request forwarded now would be lost. */
    boolean isComplete() {
        return begun && whenDrained == null;
    }

    /** When the process has to end at the latest, before the platform kills it; 0 before the shutdown begins. */
    long exitDeadlineMicros() {
        return exitDeadlineMicros;
    }

    /** The answer to a request that arrives once the shutdown is complete. */
    Rejection rejectionAfterDrain() {
        return new Rejection(Rejection.Kind.REJECTED, random.nextLong(MAX_RETRY_AFTER_MILLIS) + 1);
    }

    /**
     * Begins the shutdown; further calls have no effect.
     *
     * @param peersWithoutRequest the number of accepted peers whose request has not arrived yet
     * @param callback called once nothing is in flight
     */
    void begin(IntSupplier peersWithoutRequest, Runnable callback) {
        if (begun) {
            return;
        }
        begun = true;
        pendingPeers = peersWithoutRequest;
        LOG.info("graceful shutdown started count=" + requests.clients().size());
        whenDrained = callback;
        startedAtMicros = clock.getAsLong();
        long longestWaitMicros = Math.min(settings.longestDeadlineMicros(), MAX_LAST_MIGRATION_MICROS);
        lastMigrationMicros =
                startedAtMicros + Math.max(MIGRATION_DELAY_MICROS + FINAL_ANSWER_DELAY_MICROS, longestWaitMicros);
        exitDeadlineMicros = startedAtMicros + longestWaitMicros + KILL_DELAY_MICROS - EXIT_MARGIN_MICROS;
        requests.clients().forEach(this::scheduleMigration);
        // ensures a turn at that time: a relay without clients stays up until then for those the platform still sends
        deadlines.schedule(startedAtMicros + MIGRATION_DELAY_MICROS, () -> {});
        deadlines.schedule(lastMigrationMicros + FINAL_ANSWER_DELAY_MICROS, this::endRemaining);
    }

    /**
     * Schedules a client's migration at a random time within what is left of the span. It has no effect if the client's
     * connection is not established at that time. Called for all clients when the shutdown begins, and again for each
     * whose connection is established later.
     */
    void scheduleMigration(ClientSession client) {
        long earliest = Math.max(
                clock.getAsLong(),
                Math.max(startedAtMicros + MIGRATION_DELAY_MICROS, lastMigrationMicros - MIGRATION_SPAN_MICROS));
        long latest = Math.max(earliest + 1, lastMigrationMicros);
        deadlines.schedule(random.nextLong(earliest, latest), client::migrate);
    }

    /**
     * Runs the callback, once, as soon as the migration delay has passed, no request is in flight and no peer is
     * pending. Pending peers are waited for until the remaining requests are answered.
     */
    void runTurn(long nowMicros) {
        if (whenDrained == null) {
            return;
        }
        boolean peerWaitEnded =
                pendingPeers.getAsInt() == 0 || nowMicros >= lastMigrationMicros + FINAL_ANSWER_DELAY_MICROS;
        if (requests.clients().isEmpty() && nowMicros >= startedAtMicros + MIGRATION_DELAY_MICROS && peerWaitEnded) {
            Runnable callback = whenDrained;
            whenDrained = null;
            callback.run();
        }
    }

    /** Migrates or fails all remaining clients, so that each gets an answer before the process is killed. */
    private void endRemaining() {
        for (ClientSession client : List.copyOf(requests.clients())) {
            if (client.isEstablished()) {
                client.migrate();
            } else {
                requests.failWithoutBalancer(client);
            }
        }
    }
}
