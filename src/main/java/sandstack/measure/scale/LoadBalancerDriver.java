package sandstack.measure.scale;

import java.util.ArrayList;
import java.util.List;
import sandstack.capacity.InstallationLimits;
import sandstack.capacity.StatedCapacities;
import sandstack.decisions.AttemptOutcome;
import sandstack.decisions.BalancerAction;
import sandstack.decisions.BalancerAction.StartAttempt;
import sandstack.decisions.BalancerEvent.AttemptEnded;
import sandstack.decisions.BalancerEvent.ConnectRequested;
import sandstack.decisions.BalancerEvent.ConnectionEstablished;
import sandstack.decisions.BalancerEvent.EndpointListUpdate;
import sandstack.decisions.BalancerEvent.TimerExpired;
import sandstack.decisions.BalancerSettings;
import sandstack.decisions.DeduplicationScope;
import sandstack.decisions.EndpointEntry;
import sandstack.decisions.EndpointListKind;
import sandstack.decisions.EndpointState;
import sandstack.decisions.Idempotency;
import sandstack.decisions.LoadBalancer;
import sandstack.decisions.RequestClass;
import sandstack.settings.BalancerSettingsBuilder;

/**
 * Drives one load balancer as a relay does, with connection requests, established and ended attempts and endpoint
 * lists. No I/O; simulated time advances only in the methods that state it. Not thread-safe.
 */
final class LoadBalancerDriver {
    /**
     * Interval of the load balancer's periodic update of all servers and connections: half of the shortest deadline.
     */
    static final long UPDATE_INTERVAL_MICROS = 900_000;

    /** Interval at which relays poll the endpoint list. */
    static final long POLL_INTERVAL_MICROS = 10_000_000;

    private static final long SHORT_DEADLINE_MICROS = 2 * UPDATE_INTERVAL_MICROS;
    private static final long LONG_DEADLINE_MICROS = 3_000_000;
    private static final long SETUP_MICROS = 900;
    private static final int RELAYS = 5_600;
    private static final int ZONES = 4;
    private static final int MACHINE_KINDS = 2;
    private static final int SERVERS_PER_CELL = 10;
    private static final int CONNECTIONS_PER_GROUP = 40;
    /** Token of no timer: an event with it has no effect except that the load balancer runs a due periodic update. */
    private static final long NO_TIMER_TOKEN = Long.MAX_VALUE;

    private static final long SEED = 7;

    private final LoadBalancer loadBalancer;
    private final List<EndpointEntry> endpoints = new ArrayList<>();
    private long nowMicros = 1_000_000_000;
    private long requests;
    private int established;

    /** The id of an established connection and of its feed server. */
    record Connection(String id, String server) {}

    /** Creates a load balancer with an endpoint list of {@code servers} feed servers. */
    LoadBalancerDriver(int servers) {
        loadBalancer = new LoadBalancer(settings(), StatedCapacities.NONE, InstallationLimits.NONE, SEED, nowMicros);
        for (int i = 0; i < servers; i++) {
            endpoints.add(new EndpointEntry(
                    "s" + i, i % ZONES, i / SERVERS_PER_CELL, i % MACHINE_KINDS, 0, EndpointState.READY, 1));
        }
        sendFullEndpointList();
    }

    static BalancerSettings settings() {
        RequestClass regular = new RequestClass(
                500_000, LONG_DEADLINE_MICROS, 5, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 150_000);
        RequestClass lowLatency = new RequestClass(
                300_000, SHORT_DEADLINE_MICROS, 5, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 150_000);
        return BalancerSettingsBuilder.of(List.of(regular, lowLatency))
                .relayCount(RELAYS)
                .zoneCount(ZONES)
                .sharedGroups(true)
                .endpointListPolled(true)
                .pollIntervalMicros(POLL_INTERVAL_MICROS)
                .connectTimeoutMicros(100_000)
                .retryAfterHonored(true)
                .maxRetryAfterMicros(1_500_000)
                .crossZoneCost(0.1)
                .migrationCost(0.012)
                .drainGraceMicros(300_000)
                .slowStartInitialFraction(0.13)
                .slowStartDurationMicros(23_000_000)
                .overloadMultiple(3)
                .overloadWindowMicros(1_500_000)
                .build();
    }

    LoadBalancer loadBalancer() {
        return loadBalancer;
    }

    int established() {
        return established;
    }

    /** Establishes connections at intervals of 100 microseconds until there are {@code connections}. */
    void establishAll(int connections) {
        while (established < connections) {
            nowMicros += 100;
            establish();
        }
    }

    /**
     * Establishes one more connection without advancing the time.
     *
     * @throws IllegalStateException if the load balancer does not start an attempt immediately
     */
    Connection establish() {
        String id = "r" + ++requests;
        String group = "g" + requests / CONNECTIONS_PER_GROUP;
        long deadline = nowMicros + LONG_DEADLINE_MICROS;
        ConnectRequested request =
                new ConnectRequested(id, (int) (requests % 2), 0, "k" + requests, group, deadline, 0, false, false);
        StartAttempt attempt = null;
        for (BalancerAction action : loadBalancer.handle(request, nowMicros)) {
            attempt = action instanceof StartAttempt a ? a : attempt;
        }
        if (attempt == null) {
            throw new IllegalStateException("connection " + requests + " was not placed");
        }
        loadBalancer.handle(new ConnectionEstablished(id, 0, attempt.serverId(), SETUP_MICROS), nowMicros);
        established++;
        return new Connection(id, attempt.serverId());
    }

    /** Ends an established connection successfully. */
    void close(Connection connection) {
        loadBalancer.handle(
                new AttemptEnded(connection.id(), 0, connection.server(), AttemptOutcome.OK, true, SETUP_MICROS, null),
                nowMicros);
        established--;
    }

    /** Delivers a full endpoint list without changes. */
    void sendFullEndpointList() {
        loadBalancer.handle(new EndpointListUpdate(EndpointListKind.FULL, endpoints), nowMicros);
    }

    /** Delivers a delta with one server. */
    void sendEndpointDelta(int server) {
        loadBalancer.handle(new EndpointListUpdate(EndpointListKind.DELTA, List.of(endpoints.get(server))), nowMicros);
    }

    /** Advances the time by one update interval and runs the periodic update. */
    void runPeriodicUpdate() {
        nowMicros += UPDATE_INTERVAL_MICROS;
        loadBalancer.handle(new TimerExpired(NO_TIMER_TOKEN), nowMicros);
    }
}
