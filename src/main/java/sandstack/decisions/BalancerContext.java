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
 * What the parts of one {@link LoadBalancer} share. It owns the settings and the intervals that follow from them, the
 * time of the current event, the random generator, the actions of the current event and the timers of requests. The
 * capacity model is shared by the estimates of all servers. One thread; all calls O(1).
 */
final class BalancerContext {
    /** So many slots fit into the shortest set-up latency objective. */
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
        capacity =
                new CapacityModel(statedCapacities, slotMicros, settings.instanceCount(), settings.ratingsAreSizes());
    }

    /**
     * Puts new settings into force. Estimates and back-off intervals are kept, and so are the slot, the number of
     * instances and the meaning of ratings that the capacity model was created with.
     */
    void applySettings(BalancerSettings newSettings) {
        settings = newSettings;
        slotMicros = Math.max(1, newSettings.shortestLatencyObjectiveMicros() / SLOTS_PER_LATENCY_OBJECTIVE);
        updateIntervalMicros = Math.max(1, newSettings.shortestDeadlineMicros() / 2);
        shortestMessageLatencyObjectiveMicros = newSettings.shortestMessageLatencyObjectiveMicros();
        slowStartRule = new SlowStartBudget.OverloadRule(
                settings.overloadMultiple(),
                settings.overloadWindowMicros(),
                settings.instanceCount(),
                settings.zoneCount());
    }

    BalancerSettings settings() {
        return settings;
    }

    /** Time unit of all back-off intervals, which span 2^n slots. */
    long slotMicros() {
        return slotMicros;
    }

    /**
     * Interval of the {@linkplain LoadBalancer periodic updates} and unit of ejection times: half of the shortest
     * deadline, so that at least one falls into the time that a client waits.
     */
    long updateIntervalMicros() {
        return updateIntervalMicros;
    }

    /** The shortest latency objective for messages of any class; very large where no class has one. */
    double shortestMessageLatencyObjectiveMicros() {
        return shortestMessageLatencyObjectiveMicros;
    }

    SlowStartBudget.OverloadRule slowStartRule() {
        return slowStartRule;
    }

    /** Processes that share the role of this instance, and with it its part of every slow-start budget. */
    int processCount() {
        return processCount;
    }

    void setProcessCount(int count) {
        processCount = Math.max(1, count);
    }

    /** Starts the next event: time never goes back, and there are no actions yet. */
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

    /** The next random number, uniform over [0, 1). */
    double uniform() {
        return random.uniform();
    }

    /** The next 64 random bits. */
    long nextRandom() {
        return random.next();
    }

    /** Sets the only timer of a request, in place of an earlier one. */
    void scheduleTimer(TrackedRequest request, long dueMicros) {
        timers.remove(request.timerToken);
        request.timerToken = ++lastToken;
        timers.put(request.timerToken, request);
        actions.add(new SetTimer(Math.max(1, dueMicros - nowMicros), request.timerToken));
    }

    /** The request of an expired timer; null where the timer was replaced or cancelled. */
    TrackedRequest takeExpired(long token) {
        return timers.remove(token);
    }

    void cancelTimer(TrackedRequest request) {
        timers.remove(request.timerToken);
    }
}
