package sandstack.core;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.logging.Logger;

/**
 * Takes a relay out of service: migrates its established clients over a span of time, answers the other requests before
 * the platform kills the process, and calls back once nothing is in flight. Used on the event loop's thread only.
 */
final class GracefulShutdown {
    /** The platform goes on sending clients for a moment: migrations start after it. */
    private static final long MIGRATION_DELAY_MICROS = 500_000;
    /** The platform waits for the longest deadline before it kills, but no longer than this. */
    private static final long MAX_DRAIN_MICROS = 3_000_000;
    /**
     * Migrations are drawn over this span, so that clients do not reconnect all at once. It ends as late as the
     * platform allows: where relays are restarted one after another, clients that leave early reach one that is next,
     * or none.
     */
    private static final long MIGRATION_SPAN_MICROS = 1_200_000;
    /** Requests that are still in flight are answered so long after the last migration. */
    private static final long FINAL_ANSWER_DELAY_MICROS = 200_000;
    /** Retries of requests that a drained relay rejects are spread over this span. */
    private static final long MAX_RETRY_AFTER_MILLIS = 500;

    private static final Logger LOG = Logger.getLogger("sandstack.relay");

    private final LongSupplier clock;
    private final DeadlineScheduler deadlines;
    private final ActiveSettings settings;
    private final RequestRegistry requests;
    private final SplittableRandom random;
    private boolean begun;
    private long startedAtMicros;
    /** Fixed at the start: the platform kills by the settings of the moment at which it sent SIGTERM. */
    private long lastMigrationMicros;

    private IntSupplier unheardPeers = () -> 0;
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

    /** Whether the process is about to end: a request that was forwarded now would be lost with it. */
    boolean isComplete() {
        return begun && whenDrained == null;
    }

    /** The answer to a request that comes once the shutdown is complete. */
    Rejection rejectionAfterDrain() {
        return new Rejection(Rejection.Kind.REJECTED, random.nextLong(MAX_RETRY_AFTER_MILLIS) + 1);
    }

    /** Begins; a second call changes nothing. */
    void begin(IntSupplier peersWithoutRequest, Runnable callback) {
        if (begun) {
            return;
        }
        begun = true;
        unheardPeers = peersWithoutRequest;
        LOG.info("graceful shutdown started count=" + requests.clients().size());
        whenDrained = callback;
        startedAtMicros = clock.getAsLong();
        lastMigrationMicros = startedAtMicros
                + Math.max(
                        MIGRATION_DELAY_MICROS + FINAL_ANSWER_DELAY_MICROS,
                        Math.min(settings.longestDeadlineMicros(), MAX_DRAIN_MICROS));
        requests.clients().forEach(this::scheduleMigration);
        // wakes the loop: a relay without clients that stopped at once would lose those still being sent to it
        deadlines.schedule(startedAtMicros + MIGRATION_DELAY_MICROS, () -> {});
        deadlines.schedule(lastMigrationMicros + FINAL_ANSWER_DELAY_MICROS, this::endRemaining);
    }

    /** Migrates a client at a moment drawn over the span, also one that is established after the shutdown has begun. */
    void scheduleMigration(ClientSession client) {
        long earliest = Math.max(
                clock.getAsLong(),
                Math.max(startedAtMicros + MIGRATION_DELAY_MICROS, lastMigrationMicros - MIGRATION_SPAN_MICROS));
        long latest = Math.max(earliest + 1, lastMigrationMicros);
        deadlines.schedule(random.nextLong(earliest, latest), client::migrate);
    }

    /** Calls back, once, where nothing is in flight any more. */
    void runTurn(long nowMicros) {
        if (whenDrained == null) {
            return;
        }
        boolean allHeard = unheardPeers.getAsInt() == 0 || nowMicros >= lastMigrationMicros + FINAL_ANSWER_DELAY_MICROS;
        if (requests.clients().isEmpty() && nowMicros >= startedAtMicros + MIGRATION_DELAY_MICROS && allHeard) {
            Runnable callback = whenDrained;
            whenDrained = null;
            callback.run();
        }
    }

    /** Every client gets its answer before the process is killed. */
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
