package sandstack.decisions;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import sandstack.decisions.BalancerEvent.EndpointListUpdate;

/** The servers of one stream of {@link DecisionDigestTest}: their list, its changes, and their delays. One thread. */
final class DigestServers {
    private static final int FIRST = 14;
    private static final int MOST = 20;

    private final SplittableRandom random;
    private final int zones;
    private final List<Machine> machines = new ArrayList<>();

    /** One server as it is listed, with what the stream remembers of it. */
    static final class Machine {
        final String id;
        final int zone;
        final int number;
        EndpointState phase = EndpointState.READY;
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
            return new EndpointEntry(id, zone, number / 3, number % 3, startedAtMicros, phase, rating);
        }
    }

    DigestServers(SplittableRandom random, int zones) {
        this.random = random;
        this.zones = zones;
        for (int i = 0; i < FIRST; i++) {
            add();
        }
    }

    private Machine add() {
        int number = machines.size();
        // few servers in zone 0
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

    /** All servers that are not gone. */
    EndpointListUpdate complete(EndpointListKind kind) {
        return new EndpointListUpdate(
                kind,
                machines.stream()
                        .filter(machine -> machine.phase != EndpointState.GONE)
                        .map(Machine::entry)
                        .toList());
    }

    /** The next event of the list: mostly a change of one server. */
    EndpointListUpdate next(long now) {
        int draw = random.nextInt(24);
        if (draw == 0) {
            return new EndpointListUpdate(EndpointListKind.FAILED, List.of());
        }
        if (draw < 3) {
            return complete(draw == 1 ? EndpointListKind.CACHED : EndpointListKind.FULL);
        }
        if (draw == 3) {
            return gap();
        }
        if (draw == 4 && machines.size() < MOST) {
            Machine fresh = add();
            fresh.startedAtMicros = now;
            return changes(fresh);
        }
        Machine machine = any();
        change(machine, now);
        return random.nextInt(5) == 0 ? changes(machine, any()) : changes(machine);
    }

    /** A complete list without one server that is still there. */
    private EndpointListUpdate gap() {
        String missing = any().id;
        List<EndpointEntry> entries = complete(EndpointListKind.FULL).entries().stream()
                .filter(entry -> !entry.serverId().equals(missing))
                .toList();
        return new EndpointListUpdate(EndpointListKind.FULL, entries);
    }

    private static EndpointListUpdate changes(Machine... changed) {
        List<EndpointEntry> entries = new ArrayList<>();
        for (Machine machine : changed) {
            entries.add(machine.entry());
        }
        return new EndpointListUpdate(EndpointListKind.DELTA, entries);
    }

    private void change(Machine machine, long now) {
        if (machine.phase != EndpointState.READY) {
            machine.phase = EndpointState.READY;
            machine.startedAtMicros = now - random.nextInt(2_000_000);
        } else if (ready() > FIRST * 3 / 4) {
            switch (random.nextInt(4)) {
                case 0 -> machine.phase = EndpointState.DRAINING;
                case 1 -> machine.phase = EndpointState.GONE;
                case 2 -> machine.startedAtMicros = now;
                default -> machine.rating = 0.5 + random.nextDouble();
            }
        }
    }

    private long ready() {
        return machines.stream()
                .filter(machine -> machine.phase == EndpointState.READY)
                .count();
    }
}
