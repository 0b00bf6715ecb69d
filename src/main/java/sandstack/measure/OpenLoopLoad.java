package sandstack.measure;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;
import sandstack.testserver.LineClient;
import sandstack.testserver.LineClient.EventType;
import sandstack.testserver.TestServerLoop;

/**
 * Open-loop load: clients arrive as a Poisson process, independently of the responses to earlier ones, and close their
 * connections after exponentially distributed lifetimes. All methods must be called on the thread of the event loop.
 */
final class OpenLoopLoad {
    private static final long DEADLINE_MICROS = 3_000_000;
    private static final long MAX_RECORDED_MICROS = 60_000_000;

    private final TestServerLoop loop;
    private final SplittableRandom random;
    private final List<Integer> relayPorts;
    private final int groups;
    private final Set<LineClient> established = new LinkedHashSet<>();
    private final Histogram rejectionMicros = new Histogram(MAX_RECORDED_MICROS, 3);
    private final Histogram setupMicros = new Histogram(MAX_RECORDED_MICROS, 3);
    private final Histogram lineMicros = new Histogram(MAX_RECORDED_MICROS, 3);
    private double arrivalsPerSecond;
    private double meanLifetimeSeconds;
    private long lineIntervalMicros;
    private long lateThresholdMicros = Long.MAX_VALUE;
    private boolean arriving;
    private long attempts;
    private long accepted;
    private long rejected;
    private long failed;
    private long lost;
    private long migrated;
    private long lateLines;

    /**
     * Creates a load; clients arrive only after {@link #setArrivals}.
     *
     * @param relayPorts ports of the relays, to which clients connect in turn
     * @param groups number of client groups, which differ in size; the first is the largest
     */
    OpenLoopLoad(TestServerLoop loop, long seed, List<Integer> relayPorts, int groups) {
        this.loop = loop;
        this.random = new SplittableRandom(seed);
        this.relayPorts = relayPorts;
        this.groups = groups;
    }

    /**
     * Counters since the start of the load.
     *
     * @param attempts clients that have started to connect
     * @param accepted connections that were established
     * @param rejected attempts that a relay rejected
     * @param failed attempts that failed or timed out without a valid response
     * @param lost established connections that were reset or closed by the relay
     * @param migrated established connections that the relay asked to migrate
     * @param established connections that are currently open
     * @param rejectionP99Micros 99th percentile of the time until a rejection, since the last reset
     * @param rejectionMaxMicros maximum of the time until a rejection, since the last reset
     * @param setupP99Micros 99th percentile of the time until a connection is established, since the last reset
     * @param lines lines that received a response
     * @param lateLines lines whose round trip was above the threshold
     */
    record Counts(
            long attempts,
            long accepted,
            long rejected,
            long failed,
            long lost,
            long migrated,
            int established,
            long rejectionP99Micros,
            long rejectionMaxMicros,
            long setupP99Micros,
            long lines,
            long lateLines) {
        /** The increase of all counters since {@code before}; latencies and open connections are current values. */
        Counts since(Counts before) {
            return new Counts(
                    attempts - before.attempts,
                    accepted - before.accepted,
                    rejected - before.rejected,
                    failed - before.failed,
                    lost - before.lost,
                    migrated - before.migrated,
                    established,
                    rejectionP99Micros,
                    rejectionMaxMicros,
                    setupP99Micros,
                    lines - before.lines,
                    lateLines - before.lateLines);
        }
    }

    Counts counts() {
        return new Counts(
                attempts,
                accepted,
                rejected,
                failed,
                lost,
                migrated,
                established.size(),
                rejectionMicros.getValueAtPercentile(99),
                rejectionMicros.getMaxValue(),
                setupMicros.getValueAtPercentile(99),
                lineMicros.getTotalCount(),
                lateLines);
    }

    /** Discards the recorded rejection and setup latencies. */
    void resetLatencies() {
        rejectionMicros.reset();
        setupMicros.reset();
    }

    /**
     * Lets clients that become established from now on send a line at this interval. A line counts as late if its round
     * trip is above the threshold.
     */
    void sendLines(long intervalMicros, long thresholdMicros) {
        lineIntervalMicros = intervalMicros;
        lateThresholdMicros = thresholdMicros;
    }

    /**
     * Sets the arrival rate of clients; 0 stops arrivals.
     *
     * @param lifetimeSeconds mean lifetime of a connection; 0 for connections that stay open
     */
    void setArrivals(double perSecond, double lifetimeSeconds) {
        arrivalsPerSecond = perSecond;
        meanLifetimeSeconds = lifetimeSeconds;
        if (!arriving && perSecond > 0) {
            arriving = true;
            scheduleNext();
        }
    }

    private double exponential() {
        return -Math.log(1 - random.nextDouble());
    }

    private void scheduleNext() {
        if (arrivalsPerSecond <= 0) {
            arriving = false;
            return;
        }
        loop.schedule(Math.max(1, (long) (exponential() / arrivalsPerSecond * 1e6)), () -> {
            scheduleNext();
            connectOne();
        });
    }

    /** Starts to connect one client. */
    void connectOne() {
        long number = ++attempts;
        // squaring the draw makes the groups with low numbers the largest
        int group = (int) (groups * Math.pow(random.nextDouble(), 2));
        String requestClass =
                switch ((int) (number % 4)) {
                    case 0 -> "stock-check";
                    case 1 -> "catalogue-feed";
                    default -> "order-status";
                };
        new LineClient(
                loop,
                relayPorts.get((int) (number % relayPorts.size())),
                "i" + number,
                "k" + number,
                "c=" + requestClass + ",d=" + DEADLINE_MICROS / 1000 + ",g=g" + group,
                DEADLINE_MICROS,
                this::onClientEvent);
    }

    private void onClientEvent(LineClient.ClientEvent event) {
        LineClient client = event.client();
        if (event.type() != EventType.ESTABLISHED) {
            established.remove(client);
        }
        switch (event.type()) {
            case ESTABLISHED -> onEstablished(client, event.elapsedMicros());
            case REJECTED -> {
                rejected++;
                rejectionMicros.recordValue(Math.min(event.elapsedMicros(), MAX_RECORDED_MICROS));
            }
            case FAILED, TIMED_OUT -> failed++;
            case MOVED -> migrated++;
            case DISCONNECTED -> lost++;
            case CLOSED -> {}
            default -> throw new IllegalStateException("unexpected client event: " + event.type());
        }
    }

    private void onEstablished(LineClient client, long elapsedMicros) {
        accepted++;
        setupMicros.recordValue(Math.min(elapsedMicros, MAX_RECORDED_MICROS));
        established.add(client);
        if (meanLifetimeSeconds > 0) {
            loop.schedule((long) (exponential() * meanLifetimeSeconds * 1e6), client::close);
        }
        if (lineIntervalMicros > 0) {
            client.sendLines(lineIntervalMicros, roundTripMicros -> {
                lineMicros.recordValue(Math.min(roundTripMicros, MAX_RECORDED_MICROS));
                lateLines += roundTripMicros > lateThresholdMicros ? 1 : 0;
            });
        }
    }
}
