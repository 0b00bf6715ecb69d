package sandstack.config;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import sandstack.decisions.BalancerSettings;
import sandstack.decisions.DeduplicationScope;
import sandstack.decisions.Idempotency;
import sandstack.decisions.RequestClass;
import sandstack.decisions.Tenant;
import sandstack.settings.BalancerSettingsBuilder;

/**
 * Maps the platform's settings of one relay to {@link BalancerSettings}. Only this class translates the platform's
 * names of these settings and of their values; {@link PlatformConfig} takes the names of zones and request classes, and
 * whether servers report delays, from the same object. Not thread-safe.
 */
public final class SettingsReader {
    /** Values of {@code weights} that declare a server's rating to be its approximate size. */
    private static final Set<String> SIZE_WEIGHTS = Set.of("nominal", "rough");

    private final FlattenedSettings values = new FlattenedSettings();

    /** Reads the members of the settings object, whose opening brace the parser has already read. */
    public void read(JsonParser in) throws IOException {
        values.read(in);
    }

    /** Converts the settings read so far; throws if one is missing or invalid. */
    public BalancerSettings settings() throws InvalidConfigurationException {
        List<RequestClass> classes = requestClasses();
        List<Tenant> tenants = tenants();
        BalancerSettingsBuilder builder = BalancerSettingsBuilder.of(classes);
        // the order decides which of several invalid values is reported
        readTopologyAndTenants(builder, tenants);
        readQuotasAndMode(builder);
        readCapabilitiesAndCosts(builder);
        readContract(builder);
        return builder.ratingsAreSizes(SIZE_WEIGHTS.contains(values.text("weights")))
                .build();
    }

    private void readTopologyAndTenants(BalancerSettingsBuilder builder, List<Tenant> tenants)
            throws InvalidConfigurationException {
        builder.relayIndex(values.requiredInt("me"))
                .relayCount(values.requiredInt("siblings"))
                .homeZone(values.requiredInt("locality"))
                .zoneCount(values.requiredSize("zones"))
                .tenants(tenants);
    }

    private void readQuotasAndMode(BalancerSettingsBuilder builder) throws InvalidConfigurationException {
        builder.overQuotaWeight(values.number("over_share_worth", 1))
                .weightPerUnitOfWork(values.text("worth_by").equals("work"))
                .passThrough(values.text("family_info.mode").equals("pass"))
                .sharedGroups(values.flag("family_info.groups"))
                .endpointListPolled(values.text("membership_mode").equals("on_request"))
                .pollIntervalMicros(values.micros("contract.ask_every_us"));
    }

    private void readCapabilitiesAndCosts(BalancerSettingsBuilder builder) throws InvalidConfigurationException {
        builder.maxAttempts((int) Math.min(Integer.MAX_VALUE, values.requiredPositive("caps.max_attempts")))
                .connectTimeoutMicros(values.micros("caps.connect_timeout_us"))
                .retryAfterHonored(values.flag("caps.retry_after"))
                .maxRetryAfterMicros(values.micros("caps.max_retry_after_us"))
                .healthChecksAllowed(values.flag("caps.probes"))
                .healthCheckCost(values.number("costs.probe", 0))
                .gossipAllowed(values.flag("caps.peers"))
                .gossipCost(values.number("costs.peer", 0))
                .crossZoneCost(values.number("costs.cross_zone", 0))
                .migrationCost(values.number("costs.moves", 0));
    }

    private void readContract(BalancerSettingsBuilder builder) throws InvalidConfigurationException {
        builder.drainGraceMicros(values.micros("contract.drain_grace_us"))
                .slowStartInitialFraction(values.number("contract.cold_from", 1))
                .slowStartDurationMicros(values.micros("contract.warm_after_us"))
                .overloadMultiple(values.number("contract.tip_multiple", 1))
                .overloadWindowMicros(values.micros("contract.tip_after_us"));
    }

    private List<RequestClass> requestClasses() throws InvalidConfigurationException {
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < values.requiredSize("classes"); i++) {
            classes.add(requestClass(i));
        }
        return classes;
    }

    private RequestClass requestClass(int index) throws InvalidConfigurationException {
        String prefix = "classes." + index + ".";
        Idempotency idempotency = idempotency(prefix + "idempotency");
        DeduplicationScope scope = deduplicationScope(prefix + "group");
        return new RequestClass(
                values.requiredPositive(prefix + "goal_time_us"),
                values.requiredPositive(prefix + "deadline_us"),
                values.number(prefix + "gain", 1),
                idempotency,
                scope,
                values.micros(prefix + "dedup_window_us"),
                values.micros("family_info.message_aim_us." + index));
    }

    private Idempotency idempotency(String path) throws InvalidConfigurationException {
        return switch (values.text(path)) {
            case "safe" -> Idempotency.IDEMPOTENT;
            case "keyed" -> Idempotency.WITH_KEY;
            case "unsafe" -> Idempotency.NOT_IDEMPOTENT;
            default -> throw new InvalidConfigurationException(path + " has no known value");
        };
    }

    private DeduplicationScope deduplicationScope(String path) throws InvalidConfigurationException {
        return switch (values.text(path)) {
            case "zone" -> DeduplicationScope.ZONE;
            case "cell" -> DeduplicationScope.CELL;
            default -> DeduplicationScope.ALL;
        };
    }

    private List<Tenant> tenants() throws InvalidConfigurationException {
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < values.size("tenants"); i++) {
            tenants.add(new Tenant(
                    values.number("family_info.tenant_quota_connections." + i, 0),
                    values.number("tenants." + i + ".portion", 0)));
        }
        return tenants;
    }
}
