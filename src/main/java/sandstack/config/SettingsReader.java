package sandstack.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sandstack.decisions.BalancerSettings;
import sandstack.decisions.DeduplicationScope;
import sandstack.decisions.Idempotency;
import sandstack.decisions.RequestClass;
import sandstack.decisions.Tenant;
import sandstack.settings.BalancerSettingsBuilder;

/** Reads the settings of one instance: flattens them to dotted paths and picks what the module takes. */
public final class SettingsReader {
    /** What the settings call ratings that are a server's size. */
    private static final Set<String> SIZES = Set.of("nominal", "rough");

    private final Map<String, Object> values = new HashMap<>();
    private final Map<String, Integer> sizes = new HashMap<>();

    /** Reads the members of an object whose opening brace has been read. */
    public void read(JsonParser in) throws IOException {
        object(in, "");
    }

    private void object(JsonParser in, String path) throws IOException {
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = path + in.currentName();
            in.nextToken();
            value(in, name);
        }
    }

    private void value(JsonParser in, String name) throws IOException {
        switch (in.currentToken()) {
            case START_OBJECT -> object(in, name + ".");
            case START_ARRAY -> {
                int n = 0;
                while (in.nextToken() != JsonToken.END_ARRAY) {
                    value(in, name + "." + n++);
                    if (in.currentToken() == JsonToken.START_OBJECT) {
                        in.skipChildren();
                    }
                }
                sizes.put(name, n);
            }
            case VALUE_STRING -> values.put(name, in.getText());
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> values.put(name, in.getDoubleValue());
            case VALUE_TRUE -> values.put(name, Boolean.TRUE);
            case VALUE_FALSE -> values.put(name, Boolean.FALSE);
            default -> {}
        }
    }

    private double number(String name, double absent) throws InvalidConfigurationException {
        Object v = values.get(name);
        if (v == null && !Double.isNaN(absent)) {
            return absent;
        }
        if (v instanceof Double d && Double.isFinite(d)) {
            return d;
        }
        throw new InvalidConfigurationException(name + (v == null ? " is missing" : " is not a number"));
    }

    /** A number above 0; a part of one counts as none. */
    private long above0(String name) throws InvalidConfigurationException {
        double v = number(name, Double.NaN);
        if (v < 1) {
            throw new InvalidConfigurationException(name + " is not a number above 0");
        }
        return (long) v;
    }

    private long time(String name) throws InvalidConfigurationException {
        return (long) number(name, 0);
    }

    private int count(String name) throws InvalidConfigurationException {
        return (int) number(name, Double.NaN);
    }

    private boolean flag(String name) throws InvalidConfigurationException {
        Object v = values.getOrDefault(name, false);
        if (v instanceof Boolean b) {
            return b;
        }
        throw new InvalidConfigurationException(name + " is not a bool");
    }

    private String text(String name) throws InvalidConfigurationException {
        Object v = values.getOrDefault(name, "");
        if (v instanceof String s) {
            return s;
        }
        throw new InvalidConfigurationException(name + " is not a string");
    }

    private int size(String name) throws InvalidConfigurationException {
        Integer n = sizes.get(name);
        if (n == null) {
            throw new InvalidConfigurationException(
                    name + (values.containsKey(name) ? " is not an array" : " is missing"));
        }
        return n;
    }

    /** The settings in the module's terms. */
    public BalancerSettings settings() throws InvalidConfigurationException {
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < size("classes"); i++) {
            String c = "classes." + i + ".";
            Idempotency repeat =
                    switch (text(c + "idempotency")) {
                        case "safe" -> Idempotency.IDEMPOTENT;
                        case "keyed" -> Idempotency.WITH_KEY;
                        case "unsafe" -> Idempotency.NOT_IDEMPOTENT;
                        default -> throw new InvalidConfigurationException(c + "idempotency has no known value");
                    };
            DeduplicationScope scope =
                    switch (text(c + "group")) {
                        case "zone" -> DeduplicationScope.ZONE;
                        case "cell" -> DeduplicationScope.CELL;
                        default -> DeduplicationScope.ALL;
                    };
            classes.add(new RequestClass(
                    above0(c + "goal_time_us"),
                    above0(c + "deadline_us"),
                    number(c + "gain", 1),
                    repeat,
                    scope,
                    time(c + "dedup_window_us"),
                    time("family_info.message_aim_us." + i)));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < sizes.getOrDefault("tenants", 0); i++) {
            tenants.add(new Tenant(
                    number("family_info.tenant_quota_connections." + i, 0), number("tenants." + i + ".portion", 0)));
        }
        return BalancerSettingsBuilder.of(classes)
                .instanceIndex(count("me"))
                .instanceCount(count("siblings"))
                .homeZone(count("locality"))
                .zoneCount(size("zones"))
                .tenants(tenants)
                .overQuotaWeight(number("over_share_worth", 1))
                .weightPerUnitOfWork(text("worth_by").equals("work"))
                .passThrough(text("family_info.mode").equals("pass"))
                .sharedGroups(flag("family_info.groups"))
                .endpointListPolled(text("membership_mode").equals("on_request"))
                .pollIntervalMicros(time("contract.ask_every_us"))
                .maxAttempts((int) Math.min(Integer.MAX_VALUE, above0("caps.max_attempts")))
                .connectTimeoutMicros(time("caps.connect_timeout_us"))
                .retryAfterHonored(flag("caps.retry_after"))
                .maxRetryAfterMicros(time("caps.max_retry_after_us"))
                .healthChecksAllowed(flag("caps.probes"))
                .healthCheckCost(number("costs.probe", 0))
                .gossipAllowed(flag("caps.peers"))
                .gossipCost(number("costs.peer", 0))
                .crossZoneCost(number("costs.cross_zone", 0))
                .migrationCost(number("costs.moves", 0))
                .drainGraceMicros(time("contract.drain_grace_us"))
                .slowStartInitialFraction(number("contract.cold_from", 1))
                .slowStartDurationMicros(time("contract.warm_after_us"))
                .overloadMultiple(number("contract.tip_multiple", 1))
                .overloadWindowMicros(time("contract.tip_after_us"))
                .ratingsAreSizes(SIZES.contains(text("weights")))
                .build();
    }
}
