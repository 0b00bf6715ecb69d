package sandstack.settings;

import java.util.List;
import sandstack.decisions.BalancerSettings;
import sandstack.decisions.RequestClass;
import sandstack.decisions.Tenant;

/**
 * Builds {@link BalancerSettings}. Unset values have neutral defaults: one relay in one zone, no tenants, costs of 0,
 * no optional feature allowed, servers that start at full capacity. Only {@link #build} checks values. Not thread-safe.
 */
public final class BalancerSettingsBuilder {
    private int relayIndex;
    private int relayCount = 1;
    private int homeZone;
    private int zoneCount = 1;
    private List<RequestClass> classes;
    private List<Tenant> tenants = List.of();
    private double overQuotaWeight = 1;
    private boolean weightPerUnitOfWork;
    private boolean passThrough;
    private boolean sharedGroups;
    private boolean endpointListPolled;
    private long pollIntervalMicros;
    private int maxAttempts = 6;
    private long connectTimeoutMicros;
    private boolean retryAfterHonored;
    private long maxRetryAfterMicros;
    private boolean healthChecksAllowed;
    private double healthCheckCost;
    private boolean gossipAllowed;
    private double gossipCost;
    private double crossZoneCost;
    private double migrationCost;
    private long drainGraceMicros;
    private double slowStartInitialFraction = 1;
    private long slowStartDurationMicros;
    private double overloadMultiple = 1;
    private long overloadWindowMicros;
    private boolean ratingsAreSizes;

    private BalancerSettingsBuilder(List<RequestClass> classes) {
        this.classes = classes;
    }

    private BalancerSettingsBuilder(BalancerSettings settings) {
        relayIndex = settings.relayIndex();
        relayCount = settings.relayCount();
        homeZone = settings.homeZone();
        zoneCount = settings.zoneCount();
        classes = settings.classes();
        tenants = settings.tenants();
        overQuotaWeight = settings.overQuotaWeight();
        weightPerUnitOfWork = settings.weightPerUnitOfWork();
        passThrough = settings.passThrough();
        sharedGroups = settings.sharedGroups();
        endpointListPolled = settings.endpointListPolled();
        pollIntervalMicros = settings.pollIntervalMicros();
        maxAttempts = settings.maxAttempts();
        connectTimeoutMicros = settings.connectTimeoutMicros();
        retryAfterHonored = settings.retryAfterHonored();
        maxRetryAfterMicros = settings.maxRetryAfterMicros();
        healthChecksAllowed = settings.healthChecksAllowed();
        healthCheckCost = settings.healthCheckCost();
        gossipAllowed = settings.gossipAllowed();
        gossipCost = settings.gossipCost();
        crossZoneCost = settings.crossZoneCost();
        migrationCost = settings.migrationCost();
        drainGraceMicros = settings.drainGraceMicros();
        slowStartInitialFraction = settings.slowStartInitialFraction();
        slowStartDurationMicros = settings.slowStartDurationMicros();
        overloadMultiple = settings.overloadMultiple();
        overloadWindowMicros = settings.overloadWindowMicros();
        ratingsAreSizes = settings.ratingsAreSizes();
    }

    /** Creates a builder with the defaults and these request classes. */
    public static BalancerSettingsBuilder of(List<RequestClass> classes) {
        return new BalancerSettingsBuilder(classes);
    }

    /** Creates a builder that starts with a copy of these settings. */
    public static BalancerSettingsBuilder from(BalancerSettings settings) {
        return new BalancerSettingsBuilder(settings);
    }

    /** Copies the relay index, home zone and zone count from the settings of a relay. */
    public BalancerSettingsBuilder forRelayOf(BalancerSettings settings) {
        return relayIndex(settings.relayIndex()).homeZone(settings.homeZone()).zoneCount(settings.zoneCount());
    }

    /** Sets {@link BalancerSettings#relayIndex}. */
    public BalancerSettingsBuilder relayIndex(int value) {
        relayIndex = value;
        return this;
    }

    /** Sets {@link BalancerSettings#relayCount}. */
    public BalancerSettingsBuilder relayCount(int value) {
        relayCount = value;
        return this;
    }

    /** Sets {@link BalancerSettings#homeZone}. */
    public BalancerSettingsBuilder homeZone(int value) {
        homeZone = value;
        return this;
    }

    /** Sets {@link BalancerSettings#zoneCount}. */
    public BalancerSettingsBuilder zoneCount(int value) {
        zoneCount = value;
        return this;
    }

    /** Sets {@link BalancerSettings#classes}. */
    public BalancerSettingsBuilder classes(List<RequestClass> value) {
        classes = value;
        return this;
    }

    /** Sets {@link BalancerSettings#tenants}. */
    public BalancerSettingsBuilder tenants(List<Tenant> value) {
        tenants = value;
        return this;
    }

    /** Sets {@link BalancerSettings#overQuotaWeight}. */
    public BalancerSettingsBuilder overQuotaWeight(double value) {
        overQuotaWeight = value;
        return this;
    }

    /** Sets {@link BalancerSettings#weightPerUnitOfWork}. */
    public BalancerSettingsBuilder weightPerUnitOfWork(boolean value) {
        weightPerUnitOfWork = value;
        return this;
    }

    /** Sets {@link BalancerSettings#passThrough}. */
    public BalancerSettingsBuilder passThrough(boolean value) {
        passThrough = value;
        return this;
    }

    /** Sets {@link BalancerSettings#sharedGroups}. */
    public BalancerSettingsBuilder sharedGroups(boolean value) {
        sharedGroups = value;
        return this;
    }

    /** Sets {@link BalancerSettings#endpointListPolled}. */
    public BalancerSettingsBuilder endpointListPolled(boolean value) {
        endpointListPolled = value;
        return this;
    }

    /** Sets {@link BalancerSettings#pollIntervalMicros}. */
    public BalancerSettingsBuilder pollIntervalMicros(long value) {
        pollIntervalMicros = value;
        return this;
    }

    /** Sets {@link BalancerSettings#maxAttempts}. */
    public BalancerSettingsBuilder maxAttempts(int value) {
        maxAttempts = value;
        return this;
    }

    /** Sets {@link BalancerSettings#connectTimeoutMicros}. */
    public BalancerSettingsBuilder connectTimeoutMicros(long value) {
        connectTimeoutMicros = value;
        return this;
    }

    /** Sets {@link BalancerSettings#retryAfterHonored}. */
    public BalancerSettingsBuilder retryAfterHonored(boolean value) {
        retryAfterHonored = value;
        return this;
    }

    /** Sets {@link BalancerSettings#maxRetryAfterMicros}. */
    public BalancerSettingsBuilder maxRetryAfterMicros(long value) {
        maxRetryAfterMicros = value;
        return this;
    }

    /** Sets {@link BalancerSettings#healthChecksAllowed}. */
    public BalancerSettingsBuilder healthChecksAllowed(boolean value) {
        healthChecksAllowed = value;
        return this;
    }

    /** Sets {@link BalancerSettings#healthCheckCost}. */
    public BalancerSettingsBuilder healthCheckCost(double value) {
        healthCheckCost = value;
        return this;
    }

    /** Sets {@link BalancerSettings#gossipAllowed}. */
    public BalancerSettingsBuilder gossipAllowed(boolean value) {
        gossipAllowed = value;
        return this;
    }

    /** Sets {@link BalancerSettings#gossipCost}. */
    public BalancerSettingsBuilder gossipCost(double value) {
        gossipCost = value;
        return this;
    }

    /** Sets {@link BalancerSettings#crossZoneCost}. */
    public BalancerSettingsBuilder crossZoneCost(double value) {
        crossZoneCost = value;
        return this;
    }

    /** Sets {@link BalancerSettings#migrationCost}. */
    public BalancerSettingsBuilder migrationCost(double value) {
        migrationCost = value;
        return this;
    }

    /** Sets {@link BalancerSettings#drainGraceMicros}. */
    public BalancerSettingsBuilder drainGraceMicros(long value) {
        drainGraceMicros = value;
        return this;
    }

    /** Sets {@link BalancerSettings#slowStartInitialFraction}. */
    public BalancerSettingsBuilder slowStartInitialFraction(double value) {
        slowStartInitialFraction = value;
        return this;
    }

    /** Sets {@link BalancerSettings#slowStartDurationMicros}. */
    public BalancerSettingsBuilder slowStartDurationMicros(long value) {
        slowStartDurationMicros = value;
        return this;
    }

    /** Sets {@link BalancerSettings#overloadMultiple}. */
    public BalancerSettingsBuilder overloadMultiple(double value) {
        overloadMultiple = value;
        return this;
    }

    /** Sets {@link BalancerSettings#overloadWindowMicros}. */
    public BalancerSettingsBuilder overloadWindowMicros(long value) {
        overloadWindowMicros = value;
        return this;
    }

    /** Sets {@link BalancerSettings#ratingsAreSizes}. */
    public BalancerSettingsBuilder ratingsAreSizes(boolean value) {
        ratingsAreSizes = value;
        return this;
    }

    /**
     * Builds the settings.
     *
     * @throws IllegalArgumentException if a value is out of range; the message names the setting
     */
    public BalancerSettings build() {
        return new BalancerSettings(
                relayIndex,
                relayCount,
                homeZone,
                zoneCount,
                classes,
                tenants,
                overQuotaWeight,
                weightPerUnitOfWork,
                passThrough,
                sharedGroups,
                endpointListPolled,
                pollIntervalMicros,
                maxAttempts,
                connectTimeoutMicros,
                retryAfterHonored,
                maxRetryAfterMicros,
                healthChecksAllowed,
                healthCheckCost,
                gossipAllowed,
                gossipCost,
                crossZoneCost,
                migrationCost,
                drainGraceMicros,
                slowStartInitialFraction,
                slowStartDurationMicros,
                overloadMultiple,
                overloadWindowMicros,
                ratingsAreSizes);
    }
}
