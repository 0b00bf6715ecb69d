package sandstack.decisions;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sandstack.capacity.CapacityModel;
import sandstack.capacity.InstallationLimits;
import sandstack.capacity.SlowStartBudget;
import sandstack.capacity.StatedCapacities;
import sandstack.decisions.BalancerAction.SetTimer;
import sandstack.random.SeededRandom;

/**
 * State that the parts of one {@link LoadBalancer} share: the settings and the intervals derived from them, the time
 * and the actions of the current event, the random generator, the timers of requests, and the capacity model for the
 * estimates of all servers. Confined to the thread of the load balancer. {@link #applySettings} costs O(classes), all
 * other calls O(1).
 */
final class BalancerContext {
    /** Number of slots in the shortest set-up latency objective. */
    private static final int SLOTS_PER_LATENCY_OBJECTIVE = 16;

    final CapacityModel capacity;
    final InstallationLimits limits;
    private final SeededRandom random;
    private final Map<Long, TrackedRequest> timers = new LinkedHashMap<>();
    private BalancerSettings settings;
    private long slotMicros;
    private long updateIntervalMicros;
    private double shortestMessageLatencyObjectiveMicros;
    private SlowStartBudget.OverloadRule slowStartRule;
    private long nowMicros;
    private int processCount = 1;
    private List<BalancerAction> actions = new ArrayList<>();
    private long lastToken;

    BalancerContext(
            BalancerSettings settings,
            StatedCapacities statedCapacities,
            InstallationLimits limits,
            long seed,
            long nowMicros) {
        this.limits = limits;
        this.random = new SeededRandom(seed);
        this.nowMicros = nowMicros;
        applySettings(settings);
        capacity = new CapacityModel(statedCapacities, slotMicros, settings.relayCount(), settings.ratingsAreSizes());
    }

    /**
     * Applies new settings. Estimates and backoff intervals are kept. The capacity model keeps the slot length, the
     * number of relays and the meaning of ratings that it was created with.
     */
    void applySettings(BalancerSettings newSettings) {
        settings = newSettings;
        slotMicros = Math.max(1, newSettings.shortestLatencyObjectiveMicros() / SLOTS_PER_LATENCY_OBJECTIVE);
        updateIntervalMicros = Math.max(1, newSettings.shortestDeadlineMicros() / 2);
        shortestMessageLatencyObjectiveMicros = newSettings.shortestMessageLatencyObjectiveMicros();
        slowStartRule = new SlowStartBudget.OverloadRule(
                settings.overloadMultiple(),
                settings.overloadWindowMicros(),
                settings.relayCount(),
                settings.zoneCount());
    }

    BalancerSettings settings() {
        return settings;
    }

    /** Unit of backoff intervals, which span 2^n slots. */
    long slotMicros() {
        return slotMicros;
    }

    /**
     * Interval of the {@linkplain LoadBalancer periodic updates} and unit of ejection times: half of the shortest
     * deadline, so that at least one update becomes due while a client waits.
     */
    long updateIntervalMicros() {
        return updateIntervalMicros;
    }

    /** The shortest message latency objective of all classes; {@link Double#MAX_VALUE} if no class has one. */
    double shortestMessageLatencyObjectiveMicros() {
        return shortestMessageLatencyObjectiveMicros;
    }

    SlowStartBudget.OverloadRule slowStartRule() {
        return slowStartRule;
    }

    /** Number of processes of this relay, which split its share of every slow-start budget. */
    int processCount() {
        return processCount;
    }

    void setProcessCount(int count) {
        processCount = Math.max(1, count);
    }

    /** Starts an event: clears the actions and advances the time, which never goes back. */
    void beginEvent(long eventMicros) {
        nowMicros = Math.max(nowMicros, eventMicros);
        actions = new ArrayList<>(2);
    }

    /** Time of the current event. */
    long nowMicros() {
        return nowMicros;
    }

    void addAction(BalancerAction action) {
        actions.add(action);
    }

    /** The actions of the current event, in order. */
    List<BalancerAction> actions() {
        return actions;
    }

    /** Draws a number uniformly from [0, 1). */
    double uniform() {
        return random.uniform();
    }

    /** Draws 64 random bits. */
    long nextRandom() {
        return random.next();
    }

    /** Sets the timer of a request. A request has only one timer, so this replaces an earlier one. */
    void scheduleTimer(TrackedRequest request, long dueMicros) {
        timers.remove(request.timerToken);
        request.timerToken = ++lastToken;
        timers.put(request.timerToken, request);
        actions.add(new SetTimer(Math.max(1, dueMicros - nowMicros), request.timerToken));
    }

    /** The request of an expired timer; null if the timer was replaced or cancelled. */
    TrackedRequest takeExpired(long token) {
        return timers.remove(token);
    }

    void cancelTimer(TrackedRequest request) {
        timers.remove(request.timerToken);
    }
}
