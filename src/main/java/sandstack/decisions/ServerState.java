package sandstack.decisions;

import java.util.LinkedHashMap;
import java.util.Map;
import sandstack.capacity.CapacityEstimate;
import sandstack.capacity.SetupRateLimiter;
import sandstack.capacity.SlowStartBudget;
import sandstack.random.SeededRandom;

/**
 * What this instance knows of one server. The fields belong to the parts of the load balancer that are named with them;
 * others only read them. One thread; all calls O(1).
 */
final class ServerState {
    /** Time of an event that never happened, far enough back for any difference. */
    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    final String id;
    /** Hash of the id, for {@link RendezvousWeight}. */
    final long hash;

    // as the endpoint list says; owner: EndpointTable
    int zone;
    int cell;
    /** Size relative to other servers; above 0. */
    double rating = 1;

    EndpointState state = EndpointState.GONE;
    long drainingSinceMicros;
    private long startedAtMicros;

    final OutlierDetector outlierDetector;
    final CapacityEstimate estimate;
    final SetupRateLimiter setupLimiter;
    final SlowStartBudget slowStartBudget = new SlowStartBudget();

    /** Delay of messages as last reported. Owner: {@link ServerHeadroom}. */
    double messageDelayMicros;
    /** Time of that report. Owner: {@link ServerHeadroom}. */
    long delayReportedAtMicros = NEVER_MICROS;

    /** When the message delay last exceeded its objective. Owner: {@link SlowServerMigration}. */
    long lastSlowAtMicros = NEVER_MICROS;
    /** Owner: {@link SlowServerMigration}. */
    final SlowServerMigration.Interval migrationInterval = new SlowServerMigration.Interval();

    /** Established connections by request id, in order. Owner: {@link ConnectionTracker}. */
    final Map<String, TrackedRequest> established = new LinkedHashMap<>();
    /** Number of them by group. Owner: {@link ConnectionTracker}. */
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

    /** Fraction of its capacity that the server has reached in its slow start; 1 afterwards. */
    double slowStartFraction(BalancerContext context) {
        return context.settings().slowStartFraction(startedAtMicros, context.nowMicros());
    }

    /** Notes when the server's process was started; a new process starts slowly and without a history. */
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
