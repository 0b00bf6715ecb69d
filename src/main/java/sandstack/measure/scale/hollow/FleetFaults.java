package sandstack.measure.scale.hollow;

import java.util.List;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import sandstack.fleet.MemberStatus;
import sandstack.fleet.MemberTable;
import sandstack.fleet.Membership;

/**
 * What happens to a hollow fleet, and how long it takes, in simulated time, until all relays that are looked at know. Each
 * fault has a fleet of its own, and ends early where its work takes longer than it may.
 */
final class FleetFaults {
    /** No fault is waited for longer than this, in simulated time. */
    private static final long PATIENCE = 600_000_000;
    /** Seconds that pass before a fault, so that nothing of the start goes on. */
    private static final long SETTLED = 3_000_000;

    private static final int HOLD_LOST_IN = FleetPlan.ZONES;
    private static final long SEED = 40;

    /**
     * How a fault went.
     *
     * @param micros simulated time until all know; -1 where that was not found out
     * @param messages sent by each relay meanwhile
     * @param bytes sent by each relay meanwhile
     * @param stopped why it was not found out; empty where it was
     */
    record Outcome(String fault, int relays, long micros, double messages, double bytes, String stopped) {
        boolean known() {
            return micros >= 0;
        }

        double seconds() {
            return micros / 1e6;
        }
    }

    private final int size;
    private final long wallNanos;

    /**
     * Prepares fleets of a size.
     *
     * @param wallSeconds of work that one fault may take
     */
    FleetFaults(int size, double wallSeconds) {
        this.size = size;
        this.wallNanos = (long) (wallSeconds * 1e9);
    }

    private BooleanSupplier deadline() {
        long until = System.nanoTime() + wallNanos;
        return () -> System.nanoTime() > until;
    }

    private HollowFleet settled(int spare) {
        HollowFleet fleet = new HollowFleet(size, spare, SEED);
        fleet.meet();
        fleet.advance(SETTLED);
        fleet.traffic().clear();
        return fleet;
    }

    /** One more relay starts: until all call it alive, and it calls all alive. */
    Outcome join() {
        BooleanSupplier overdue = deadline();
        HollowFleet fleet = settled(1);
        fleet.join();
        return outcome("join", fleet, fleet.until(allAlive(size + 1), PATIENCE, overdue));
    }

    /** One relay is killed: until nobody calls it alive. */
    Outcome kill() {
        BooleanSupplier overdue = deadline();
        HollowFleet fleet = settled(0);
        HollowRelay victim = fleet.relays().get(size - 1);
        fleet.kill(victim);
        return outcome(
                "kill", fleet, fleet.until(standing(List.of(victim), s -> s != MemberStatus.ALIVE), PATIENCE, overdue));
    }

    /** One relay is killed: until all have given it up. */
    Outcome killGivenUp() {
        BooleanSupplier overdue = deadline();
        HollowFleet fleet = settled(0);
        HollowRelay victim = fleet.relays().get(size - 1);
        fleet.kill(victim);
        return outcome(
                "given-up",
                fleet,
                fleet.until(standing(List.of(victim), s -> s == MemberStatus.LOST), PATIENCE, overdue));
    }

    /** A zone of eight is lost: until all have given up all of it. */
    Outcome zoneLost() {
        BooleanSupplier overdue = deadline();
        HollowFleet fleet = settled(0);
        List<HollowRelay> lost = fleet.relays().stream()
                .filter(relay -> FleetPlan.zone(relay.index()) == HOLD_LOST_IN - 1)
                .toList();
        lost.forEach(fleet::kill);
        return outcome("zone", fleet, fleet.until(standing(lost, s -> s == MemberStatus.LOST), PATIENCE, overdue));
    }

    /** Two regions were apart until each gave up the other, and meet again: until all call all alive. */
    Outcome healedCut() {
        BooleanSupplier overdue = deadline();
        HollowFleet fleet = settled(0);
        fleet.regionsApart(true);
        long apart = fleet.until(
                view -> view.rows().stream()
                        .noneMatch(line -> farFrom(fleet, view, line) && line.status() != MemberStatus.LOST),
                PATIENCE,
                overdue);
        if (apart < 0) {
            return outcome("heal", fleet, apart);
        }
        fleet.traffic().clear();
        fleet.regionsApart(false);
        return outcome("heal", fleet, fleet.until(allAlive(size), PATIENCE, overdue));
    }

    private static boolean farFrom(HollowFleet fleet, Membership.View view, MemberTable.Row line) {
        return fleet.region(view.self().id()) != fleet.region(line.incarnation().id());
    }

    private Outcome outcome(String fault, HollowFleet fleet, long micros) {
        return new Outcome(
                fault,
                size,
                micros,
                fleet.traffic().messages() / (double) size,
                fleet.traffic().bytes() / (double) size,
                micros >= 0
                        ? ""
                        : String.format(Locale.ROOT, "no more than %.0f s of work were allowed", wallNanos / 1e9));
    }

    private static Predicate<Membership.View> allAlive(int relays) {
        return view -> view.rows().stream()
                        .filter(line -> line.status() == MemberStatus.ALIVE)
                        .count()
                == relays;
    }

    private static Predicate<Membership.View> standing(List<HollowRelay> of, Predicate<MemberStatus> is) {
        List<String> ids = of.stream().map(relay -> relay.life().id()).toList();
        return view -> view.rows().stream()
                .filter(line -> ids.contains(line.incarnation().id()))
                .allMatch(line -> is.test(line.status()));
    }
}
