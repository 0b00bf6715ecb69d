package sandstack.decisions;

import java.util.LinkedHashMap;
import java.util.Map;
import sandstack.capacity.CapacityEstimate;
import sandstack.capacity.SetupRateLimiter;
import sandstack.capacity.SlowStartBudget;
import sandstack.random.SeededRandom;

/**
 * What this relay knows about one server. A field belongs to the class named as its owner; other classes only read it.
 * Confined to the thread of the load balancer. All calls are O(1).
 */
final class ServerState {
    /** Time of an event that has not happened; half of {@link Long#MIN_VALUE}, so that differences do not overflow. */
    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    final String id;
    /** Hash of the id, for {@link RendezvousWeight}. */
    final long hash;

    // from the endpoint list; owner: EndpointTable
    int zone;
    int cell;
    /** Weight relative to other servers; above 0. See {@link EndpointEntry}. */
    double rating = 1;

    EndpointState state = EndpointState.GONE;
    /** When it last started draining. Owner: {@link EndpointTable}. */
    long drainingSinceMicros;
    /** When its process was last started; 0 means long ago. */
    private long startedAtMicros;

    final OutlierDetector outlierDetector;
    final CapacityEstimate estimate;
    final SetupRateLimiter setupLimiter;
    final SlowStartBudget slowStartBudget = new SlowStartBudget();

    /** Last reported message delay. Owner: {@link ServerHeadroom}. */
    double messageDelayMicros;
    /** Time of the last report of the message delay. Owner: {@link ServerHeadroom}. */
    long delayReportedAtMicros = NEVER_MICROS;

    /** When a report last missed the message latency objective. Owner: {@link SlowServerMigration}. */
    long lastSlowAtMicros = NEVER_MICROS;
    /** Owner: {@link SlowServerMigration}. */
    final SlowServerMigration.Interval migrationInterval = new SlowServerMigration.Interval();

    /** Established connections by request id, in the order of their establishment. Owner: {@link ConnectionTracker}. */
    final Map<String, TrackedRequest> established = new LinkedHashMap<>();
    /** Number of established connections by group, without groups that have none. Owner: {@link ConnectionTracker}. */
    final Map<String, Integer> connectionsByGroup = new LinkedHashMap<>();

    ServerState(String id, BalancerContext context) {
        this.id = id;
        this.hash = SeededRandom.hash(id);
        this.outlierDetector = new OutlierDetector(context);
        this.estimate = context.capacity.newEstimate();
        this.setupLimiter = new SetupRateLimiter(context.limits.maxSetupsPerSecond(), context.nowMicros());
    }

    boolean isReady() {
        return state == EndpointState.READY;
    }

    /** Fraction of its full capacity that the server has; 1 after its slow start. */
    double slowStartFraction(BalancerContext context) {
        return context.settings().slowStartFraction(startedAtMicros, context.nowMicros());
    }

    /**
     * Sets the start time of the server's process. A new process goes through a slow start; the ejection, the message
     * delay and the capacity limits of the previous process do not apply to it.
     */
    void onStartTime(long newStartedAtMicros, BalancerContext context) {
        if (newStartedAtMicros == startedAtMicros) {
            return;
        }
        startedAtMicros = newStartedAtMicros;
        outlierDetector.onRestart();
        messageDelayMicros = 0;
        estimate.onRestart();
        slowStartBudget.onRestart(context.nowMicros());
    }
}
