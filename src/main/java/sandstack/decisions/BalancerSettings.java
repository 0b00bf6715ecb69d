package sandstack.decisions;

import java.util.List;
import sandstack.staleness.EndpointListStaleness;

/**
 * All that one balancer instance is set up with. The constructor refuses what makes no sense with an
 * {@link IllegalArgumentException} that names the setting.
 *
 * @param instanceIndex number of this instance, from 0
 * @param instanceCount how many instances there are, this one included
 * @param homeZone zone of this instance
 * @param zoneCount number of zones
 * @param classes the classes, at least one
 * @param tenants the tenants; may be empty
 * @param overQuotaWeight worth of traffic past a tenant's share, as a part of the usual
 * @param weightPerUnitOfWork worth is counted per unit of work, not per request
 * @param passThrough packets pass through: when the set of balancers changes, standing connections
 *     arrive mid-flow at another. Otherwise connections end at the balancer
 * @param sharedGroups connections of one group share work on a server
 * @param endpointListPolled the server list comes only when asked for; otherwise changes arrive unasked
 * @param pollIntervalMicros where listOnRequest: how long one may go without asking or a subscription
 * @param maxAttempts attempts allowed for one request, at least 1
 * @param connectTimeoutMicros when a connection that is not up counts as failed
 * @param retryAfterHonored clients are told how long to stay away
 * @param maxRetryAfterMicros the longest such advice that clients follow
 * @param healthChecksAllowed servers may be probed
 * @param healthCheckCost price of one probe per request
 * @param gossipAllowed messages to other instances are allowed
 * @param gossipCost price of 256 bytes delivered per request
 * @param crossZoneCost price of each request crossing zones once
 * @param migrationCost price of each client moved once
 * @param drainGraceMicros how long sends to a draining or gone server may go on after it was told
 * @param slowStartInitialFraction part of its capacity that a starting server has at the least
 * @param slowStartDurationMicros time after which it has all of it
 * @param overloadMultiple work beyond this multiple of its present capacity...
 * @param overloadWindowMicros ...for this long makes a cold server fall over
 * @param ratingsAreSizes a server's rating is its size, as registered or about; otherwise it is 1 or changes with
 *     what it holds
 */
public record BalancerSettings(
        int instanceIndex,
        int instanceCount,
        int homeZone,
        int zoneCount,
        List<RequestClass> classes,
        List<Tenant> tenants,
        double overQuotaWeight,
        boolean weightPerUnitOfWork,
        boolean passThrough,
        boolean sharedGroups,
        boolean endpointListPolled,
        long pollIntervalMicros,
        int maxAttempts,
        long connectTimeoutMicros,
        boolean retryAfterHonored,
        long maxRetryAfterMicros,
        boolean healthChecksAllowed,
        double healthCheckCost,
        boolean gossipAllowed,
        double gossipCost,
        double crossZoneCost,
        double migrationCost,
        long drainGraceMicros,
        double slowStartInitialFraction,
        long slowStartDurationMicros,
        double overloadMultiple,
        long overloadWindowMicros,
        boolean ratingsAreSizes) {

    /** Checks the values; an {@link IllegalArgumentException} names the one that is out of range. */
    public BalancerSettings {
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
        require(!classes.isEmpty(), "classes", "is empty");
        for (RequestClass requestClass : classes) {
            require(requestClass.latencyObjectiveMicros() > 0, "classes.aim", "must be above 0");
            require(requestClass.deadlineMicros() > 0, "classes.deadline", "must be above 0");
            require(requestClass.priorityWeight() >= 0, "classes.worth", "is negative");
            require(requestClass.deduplicationWindowMicros() >= 0, "classes.window", "is negative");
            require(requestClass.messageLatencyObjectiveMicros() >= 0, "classes.messageAim", "is negative");
        }
        require(instanceCount >= 1, "instances", "must be at least 1");
        require(instanceIndex >= 0, "self", "is negative");
        require(zoneCount >= 1, "zones", "must be at least 1");
        require(homeZone >= 0 && homeZone < zoneCount, "homeZone", "is out of range");
        require(maxAttempts >= 1, "maxAttempts", "must be at least 1");
        require(pollIntervalMicros >= 0, "askWithin", "is negative");
        require(connectTimeoutMicros >= 0, "connectTimeout", "is negative");
        require(maxRetryAfterMicros >= 0, "maxRetryAfter", "is negative");
        require(healthCheckCost >= 0, "probePrice", "is negative");
        require(gossipCost >= 0, "peerPrice", "is negative");
        require(crossZoneCost >= 0, "crossZonePrice", "is negative");
        require(migrationCost >= 0, "movePrice", "is negative");
        require(drainGraceMicros >= 0, "drainGrace", "is negative");
        require(slowStartInitialFraction >= 0 && slowStartInitialFraction <= 1, "coldFrom", "must be from 0 to 1");
        require(slowStartDurationMicros >= 0, "warmAfter", "is negative");
        require(overloadMultiple >= 0, "tipMultiple", "is negative");
        require(overloadWindowMicros >= 0, "tipAfter", "is negative");
    }

    /** When what the list's source has to tell counts as told, and when to ask again. */
    public EndpointListStaleness endpointListStaleness() {
        return new EndpointListStaleness(!endpointListPolled, pollIntervalMicros);
    }

    /** Whether there is a class at this position. */
    public boolean hasClass(int classIndex) {
        return classIndex >= 0 && classIndex < classes.size();
    }

    /** The least set-up aim of any class. */
    public long shortestLatencyObjectiveMicros() {
        return classes.stream()
                .mapToLong(RequestClass::latencyObjectiveMicros)
                .min()
                .orElseThrow();
    }

    /** The least deadline of any class, in microseconds. */
    public long shortestDeadlineMicros() {
        return classes.stream().mapToLong(RequestClass::deadlineMicros).min().orElseThrow();
    }

    /** The greatest deadline of any class, in microseconds. */
    public long longestDeadlineMicros() {
        return classes.stream().mapToLong(RequestClass::deadlineMicros).max().orElseThrow();
    }

    /** The least aim for a message of the classes that state one; very large where none does. */
    public double shortestMessageLatencyObjectiveMicros() {
        return classes.stream()
                .mapToDouble(RequestClass::messageLatencyObjectiveMicros)
                .filter(aim -> aim > 0)
                .min()
                .orElse(Double.MAX_VALUE);
    }

    /** The part of its capacity that a server has by now, if it started then; 1 where that is long ago. */
    public double slowStartFraction(long startedAtMicros, long nowMicros) {
        if (startedAtMicros == 0 || slowStartDurationMicros == 0) {
            return 1;
        }
        double elapsedFraction = (nowMicros - startedAtMicros) / (double) slowStartDurationMicros;
        return elapsedFraction >= 1
                ? 1
                : slowStartInitialFraction + (1 - slowStartInitialFraction) * Math.max(0, elapsedFraction);
    }

    private static void require(boolean holds, String setting, String problem) {
        if (!holds) {
            throw new IllegalArgumentException("setting " + setting + " " + problem);
        }
    }
}
