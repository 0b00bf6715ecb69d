package sandstack.decisions;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import sandstack.decisions.BalancerEvent.EndpointListUpdate;

/**
 * The servers of the event stream of a {@link DigestScenario}: the endpoint list, its changes, and the message delays
 * of the servers. Not thread-safe.
 */
final class DigestServers {
    private static final int INITIAL_COUNT = 14;
    private static final int MAX_COUNT = 20;

    private final SplittableRandom random;
    private final int zones;
    private final List<Machine> machines = new ArrayList<>();

    /** A server as it is listed, and the state that the event stream keeps for it. */
    static final class Machine {
        final String id;
        final int zone;
        final int number;
        EndpointState state = EndpointState.READY;
        long startedAtMicros;
        double rating;
        double delayMicros;
        boolean failedLast;
        boolean rejectedLast;

        Machine(int number, int zone, double rating) {
            this.number = number;
            this.id = "s" + number;
            this.zone = zone;
            this.rating = rating;
        }

        EndpointEntry entry() {
            return new EndpointEntry(id, zone, number / 3, number % 3, startedAtMicros, state, rating);
        }
    }

    DigestServers(SplittableRandom random, int zones) {
        this.random = random;
        this.zones = zones;
        for (int i = 0; i < INITIAL_COUNT; i++) {
            add();
        }
    }

    private Machine add() {
        int number = machines.size();
        // with several zones, a fifth of the servers is in zone 0
        int zone = zones == 1 ? 0 : number % 5 == 0 ? 0 : 1 + number % (zones - 1);
        Machine machine = new Machine(number, zone, 0.7 + number % 4 * 0.3);
        machines.add(machine);
        return machine;
    }

    Machine any() {
        return machines.get(random.nextInt(machines.size()));
    }

    Machine of(String id) {
        return machines.get(Integer.parseInt(id.substring(1)));
    }

    /** An update with all servers that are not gone. */
    EndpointListUpdate fullList(EndpointListKind kind) {
        return new EndpointListUpdate(
                kind,
                machines.stream()
                        .filter(machine -> machine.state != EndpointState.GONE)
                        .map(Machine::entry)
                        .toList());
    }

    /** Draws the next endpoint list event, mostly a change of one server. */
    EndpointListUpdate next(long nowMicros) {
        int draw = random.nextInt(24);
        if (draw == 0) {
            return new EndpointListUpdate(EndpointListKind.FAILED, List.of());
        }
        if (draw < 3) {
            return fullList(draw == 1 ? EndpointListKind.CACHED : EndpointListKind.FULL);
        }
        if (draw == 3) {
            return listWithoutOne();
        }
        if (draw == 4 && machines.size() < MAX_COUNT) {
            Machine added = add();
            added.startedAtMicros = nowMicros;
            return delta(added);
        }
        Machine machine = any();
        change(machine, nowMicros);
        return random.nextInt(5) == 0 ? delta(machine, any()) : delta(machine);
    }

    /** A complete list that lacks one server. */
    private EndpointListUpdate listWithoutOne() {
        String missing = any().id;
        List<EndpointEntry> entries = fullList(EndpointListKind.FULL).entries().stream()
                .filter(entry -> !entry.serverId().equals(missing))
                .toList();
        return new EndpointListUpdate(EndpointListKind.FULL, entries);
    }

    private static EndpointListUpdate delta(Machine... changed) {
        List<EndpointEntry> entries = new ArrayList<>();
        for (Machine machine : changed) {
            entries.add(machine.entry());
        }
        return new EndpointListUpdate(EndpointListKind.DELTA, entries);
    }

    private void change(Machine machine, long nowMicros) {
        if (machine.state != EndpointState.READY) {
            machine.state = EndpointState.READY;
            machine.startedAtMicros = nowMicros - random.nextInt(2_000_000);
        } else if (countReady() > INITIAL_COUNT * 3 / 4) {
            switch (random.nextInt(4)) {
                case 0 -> machine.state = EndpointState.DRAINING;
                case 1 -> machine.state = EndpointState.GONE;
                case 2 -> machine.startedAtMicros = nowMicros;
                default -> machine.rating = 0.5 + random.nextDouble();
            }
        }
    }

    private long countReady() {
        return machines.stream()
                .filter(machine -> machine.state == EndpointState.READY)
                .count();
    }
}
