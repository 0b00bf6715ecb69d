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
 * Drives one decision module as a relay does: each connection asks, is placed, stands and ends. No I/O and no clock of
 * its own; time goes on only where a method says so. One thread.
 */
final class DecisionDriver {
    /** Half of the shortest deadline: at this pace the module looks at the whole. */
    static final long LOOK_MICROS = 900_000;

    /** The pace at which relays are told to ask for the list. */
    static final long ASK_WITHIN = 10_000_000;

    private static final long SHORTEST_DEADLINE = 2 * LOOK_MICROS;
    private static final long LONG_DEADLINE = 3_000_000;
    private static final long SETUP_TOOK = 900;
    private static final int RELAYS = 5_600;
    private static final int ZONES = 4;
    private static final int MACHINE_KINDS = 2;
    private static final int SERVERS_IN_CELL = 10;
    private static final int CONNECTIONS_IN_GROUP = 40;
    private static final long NO_TIMER = Long.MAX_VALUE;
    private static final long SEED = 7;

    private final LoadBalancer brain;
    private final List<EndpointEntry> list = new ArrayList<>();
    private long now = 1_000_000_000;
    private long asked;
    private int standing;

    /** A connection that stands. */
    record Placed(String id, String server) {}

    /** With a list of so many servers that the module has been told. */
    DecisionDriver(int servers) {
        brain = new LoadBalancer(settings(), StatedCapacities.NONE, InstallationLimits.NONE, SEED, now);
        for (int i = 0; i < servers; i++) {
            list.add(new EndpointEntry(
                    "s" + i, i % ZONES, i / SERVERS_IN_CELL, i % MACHINE_KINDS, 0, EndpointState.READY, 1));
        }
        tellWholeList();
    }

    static BalancerSettings settings() {
        RequestClass usual =
                new RequestClass(500_000, LONG_DEADLINE, 5, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 150_000);
        RequestClass tight = new RequestClass(
                300_000, SHORTEST_DEADLINE, 5, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 150_000);
        return BalancerSettingsBuilder.of(List.of(usual, tight))
                .instanceCount(RELAYS)
                .zoneCount(ZONES)
                .sharedGroups(true)
                .endpointListPolled(true)
                .pollIntervalMicros(ASK_WITHIN)
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

    LoadBalancer brain() {
        return brain;
    }

    int standing() {
        return standing;
    }

    /** Places connections until so many stand, a hundred microseconds apart. */
    void standUp(int connections) {
        while (standing < connections) {
            now += 100;
            place();
        }
    }

    /**
     * One more connection asks and stands, at the same moment.
     *
     * @throws IllegalStateException where the module does not place it at once
     */
    Placed place() {
        String id = "r" + ++asked;
        String group = "g" + asked / CONNECTIONS_IN_GROUP;
        long deadline = now + LONG_DEADLINE;
        ConnectRequested request =
                new ConnectRequested(id, (int) (asked % 2), 0, "k" + asked, group, deadline, 0, false, false);
        StartAttempt attempt = null;
        for (BalancerAction action : brain.handle(request, now)) {
            attempt = action instanceof StartAttempt a ? a : attempt;
        }
        if (attempt == null) {
            throw new IllegalStateException("connection " + asked + " was not placed");
        }
        brain.handle(new ConnectionEstablished(id, 0, attempt.serverId(), SETUP_TOOK), now);
        standing++;
        return new Placed(id, attempt.serverId());
    }

    /** One that stands is served to its end. */
    void end(Placed placed) {
        brain.handle(new AttemptEnded(placed.id(), 0, placed.server(), AttemptOutcome.OK, true, SETUP_TOOK, null), now);
        standing--;
    }

    /** The whole list comes, with nothing new in it. */
    void tellWholeList() {
        brain.handle(new EndpointListUpdate(EndpointListKind.FULL, list), now);
    }

    /** One server is told to have changed. */
    void tellChange(int server) {
        brain.handle(new EndpointListUpdate(EndpointListKind.DELTA, List.of(list.get(server))), now);
    }

    /** Lets the time pass after which the module looks at all servers and connections, and has it look. */
    void look() {
        now += LOOK_MICROS;
        brain.handle(new TimerExpired(NO_TIMER), now);
    }
}
