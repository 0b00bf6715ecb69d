package sandstack.decisions;

import java.util.List;
import sandstack.staleness.EndpointListStaleness;

/**
 * The settings of the load balancer of one relay. Components marked "not used" are part of the settings that the
 * platform supplies, but no decision depends on them.
 *
 * @param relayIndex index of this relay, from 0; not used
 * @param relayCount number of relays, including this one
 * @param homeZone index of the zone of this relay
 * @param zoneCount number of zones
 * @param classes the request classes; at least one
 * @param tenants the tenants; may be empty
 * @param overQuotaWeight priority weight of a tenant's traffic beyond its quota, as a fraction of the usual weight;
 *     decisions only depend on whether it is below 1
 * @param weightPerUnitOfWork whether priority weights count per unit of work instead of per request
 * @param passThrough whether packets pass through the relay, so that established connections arrive mid-flow at another
 *     relay when the set of relays changes; otherwise connections are terminated at the relay; not used
 * @param sharedGroups whether connections of one group share work on a server
 * @param endpointListPolled whether the endpoint list has to be polled; otherwise changes are pushed
 * @param pollIntervalMicros with {@code endpointListPolled}: longest time that the relay may go without a poll or a
 *     watch of the list; 0 if none is stated
 * @param maxAttempts attempts allowed for one request; at least 1
 * @param connectTimeoutMicros time after which an attempt to connect to a server counts as failed
 * @param retryAfterHonored whether clients honour Retry-After; not used, since it is sent in any case
 * @param maxRetryAfterMicros the longest Retry-After that clients honour
 * @param healthChecksAllowed whether servers may be health-checked; not used
 * @param healthCheckCost cost of one health check per request; not used
 * @param gossipAllowed whether messages to other relays are allowed; not used
 * @param gossipCost cost of 256 bytes delivered per request; not used
 * @param crossZoneCost one-time cost of a request that crosses zones; not used
 * @param migrationCost one-time cost of migrating a client; not used
 * @param drainGraceMicros time during which a server may still get attempts after it was listed as draining or gone
 * @param slowStartInitialFraction fraction of its full capacity that a server has when it starts, from 0 to 1
 * @param slowStartDurationMicros time from its start after which a server has its full capacity
 * @param overloadMultiple load that overloads a server in slow start if it lasts for {@code overloadWindowMicros}, as a
 *     multiple of the current capacity of the server
 * @param overloadWindowMicros time for which the load has to stay at that multiple to overload the server
 * @param ratingsAreSizes whether the rating of a server is approximately its size; otherwise ratings are 1 or change
 *     with the load
 */
public record BalancerSettings(
        int relayIndex,
        int relayCount,
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

    /**
     * Checks the ranges of the values.
     *
     * @throws IllegalArgumentException if a value is out of range; the message names the setting
     */
    public BalancerSettings {
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
        // operators see these messages; the setting names in them differ from the component names
        require(!classes.isEmpty(), "classes", "is empty");
        for (RequestClass requestClass : classes) {
            require(requestClass.latencyObjectiveMicros() > 0, "classes.aim", "must be above 0");
            require(requestClass.deadlineMicros() > 0, "classes.deadline", "must be above 0");
            require(requestClass.priorityWeight() >= 0, "classes.worth", "is negative");
            require(requestClass.deduplicationWindowMicros() >= 0, "classes.window", "is negative");
            require(requestClass.messageLatencyObjectiveMicros() >= 0, "classes.messageAim", "is negative");
        }
        require(relayCount >= 1, "instances", "must be at least 1");
        require(relayIndex >= 0, "self", "is negative");
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

    /** The staleness timeouts and the poll backoff of the endpoint list, derived from these settings. */
    public EndpointListStaleness endpointListStaleness() {
        return new EndpointListStaleness(!endpointListPolled, pollIntervalMicros);
    }

    /** Whether {@link #classes} has an element with this index. */
    public boolean hasClass(int classIndex) {
        return classIndex >= 0 && classIndex < classes.size();
    }

    /** The shortest set-up latency objective of any class. */
    public long shortestLatencyObjectiveMicros() {
        return classes.stream()
                .mapToLong(RequestClass::latencyObjectiveMicros)
                .min()
                .orElseThrow();
    }

    /** The shortest deadline of any class. */
    public long shortestDeadlineMicros() {
        return classes.stream().mapToLong(RequestClass::deadlineMicros).min().orElseThrow();
    }

    /** The longest deadline of any class. */
    public long longestDeadlineMicros() {
        return classes.stream().mapToLong(RequestClass::deadlineMicros).max().orElseThrow();
    }

    /** The shortest message latency objective of the classes that have one; {@link Double#MAX_VALUE} if none has. */
    public double shortestMessageLatencyObjectiveMicros() {
        return classes.stream()
                .mapToDouble(RequestClass::messageLatencyObjectiveMicros)
                .filter(objectiveMicros -> objectiveMicros > 0)
                .min()
                .orElse(Double.MAX_VALUE);
    }

    /**
     * The fraction of its full capacity that a server has; 1 after its slow start, if its start time is 0, which means
     * long ago, or if servers have no slow start.
     */
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
