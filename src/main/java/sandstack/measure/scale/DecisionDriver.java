package sandstack.measure.scale;

import java.util.ArrayList;
import java.util.List;
import sandstack.capacity.Limits;
import sandstack.capacity.Stated;
import sandstack.decisions.Brain;
import sandstack.decisions.Decisions.Action;
import sandstack.decisions.Decisions.Attempt;
import sandstack.decisions.Decisions.AttemptEnded;
import sandstack.decisions.Decisions.ConnectRequest;
import sandstack.decisions.Decisions.Established;
import sandstack.decisions.Decisions.ListKind;
import sandstack.decisions.Decisions.Outcome;
import sandstack.decisions.Decisions.Phase;
import sandstack.decisions.Decisions.Repeat;
import sandstack.decisions.Decisions.RequestClass;
import sandstack.decisions.Decisions.Scope;
import sandstack.decisions.Decisions.ServerEntry;
import sandstack.decisions.Decisions.ServerList;
import sandstack.decisions.Decisions.Settings;
import sandstack.decisions.Decisions.TimerDue;
import sandstack.settings.SettingsBuilder;

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

    private final Brain brain;
    private final List<ServerEntry> list = new ArrayList<>();
    private long now = 1_000_000_000;
    private long asked;
    private int standing;

    /** A connection that stands. */
    record Placed(String id, String server) {}

    /** With a list of so many servers that the module has been told. */
    DecisionDriver(int servers) {
        brain = new Brain(settings(), Stated.Book.EMPTY, Limits.NONE, SEED, now);
        for (int i = 0; i < servers; i++) {
            list.add(new ServerEntry("s" + i, i % ZONES, i / SERVERS_IN_CELL, i % MACHINE_KINDS, 0, Phase.READY, 1));
        }
        tellWholeList();
    }

    static Settings settings() {
        RequestClass usual = new RequestClass(500_000, LONG_DEADLINE, 5, Repeat.SAFE, Scope.ALL, 0, 150_000);
        RequestClass tight = new RequestClass(300_000, SHORTEST_DEADLINE, 5, Repeat.SAFE, Scope.ALL, 0, 150_000);
        return SettingsBuilder.of(List.of(usual, tight))
                .instances(RELAYS)
                .zones(ZONES)
                .sharedGroups(true)
                .listOnRequest(true)
                .askWithin(ASK_WITHIN)
                .connectTimeout(100_000)
                .retryAfter(true)
                .maxRetryAfter(1_500_000)
                .crossZonePrice(0.1)
                .movePrice(0.012)
                .drainGrace(300_000)
                .coldFrom(0.13)
                .warmAfter(23_000_000)
                .tipMultiple(3)
                .tipAfter(1_500_000)
                .build();
    }

    Brain brain() {
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
        ConnectRequest request =
                new ConnectRequest(id, (int) (asked % 2), 0, "k" + asked, group, deadline, 0, false, false);
        Attempt attempt = null;
        for (Action action : brain.on(request, now)) {
            attempt = action instanceof Attempt a ? a : attempt;
        }
        if (attempt == null) {
            throw new IllegalStateException("connection " + asked + " was not placed");
        }
        brain.on(new Established(id, 0, attempt.server(), SETUP_TOOK), now);
        standing++;
        return new Placed(id, attempt.server());
    }

    /** One that stands is served to its end. */
    void end(Placed placed) {
        brain.on(new AttemptEnded(placed.id(), 0, placed.server(), Outcome.OK, true, SETUP_TOOK, null), now);
        standing--;
    }

    /** The whole list comes, with nothing new in it. */
    void tellWholeList() {
        brain.on(new ServerList(ListKind.FULL, list), now);
    }

    /** One server is told to have changed. */
    void tellChange(int server) {
        brain.on(new ServerList(ListKind.CHANGES, List.of(list.get(server))), now);
    }

    /** Lets the time pass after which the module looks at all servers and connections, and has it look. */
    void look() {
        now += LOOK_MICROS;
        brain.on(new TimerDue(NO_TIMER), now);
    }
}
