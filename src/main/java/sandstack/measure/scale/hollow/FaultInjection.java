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
final class FaultInjection {
    /** No fault is waited for longer than this, in simulated time. */
    private static final long TIMEOUT_MICROS = 600_000_000;
    /** Seconds that pass before a fault, so that nothing of the start goes on. */
    private static final long SETTLE_MICROS = 3_000_000;

    private static final int ZONES = FleetLayout.ZONES;
    private static final long SEED = 40;

    /**
     * How a fault went.
     *
     * @param micros simulated time until all know; -1 where that was not found out
     * @param messages sent by each relay meanwhile
     * @param bytes sent by each relay meanwhile
     * @param abortReason why it was not found out; empty where it was
     */
    record Outcome(String fault, int relays, long micros, double messages, double bytes, String abortReason) {
        boolean isComplete() {
            return micros >= 0;
        }

        double seconds() {
            return micros / 1e6;
        }
    }

    private final int relays;
    private final long maxWallNanos;

    /**
     * Prepares fleets of a size.
     *
     * @param maxWallSeconds of work that one fault may take
     */
    FaultInjection(int fleetSize, double maxWallSeconds) {
        this.relays = fleetSize;
        this.maxWallNanos = (long) (maxWallSeconds * 1e9);
    }

    private BooleanSupplier deadline() {
        long until = System.nanoTime() + maxWallNanos;
        return () -> System.nanoTime() > until;
    }

    private HollowFleet newSettledFleet(int joiningRelays) {
        HollowFleet fleet = new HollowFleet(relays, joiningRelays, SEED);
        fleet.formFullMembership();
        fleet.advance(SETTLE_MICROS);
        fleet.traffic().clear();
        return fleet;
    }

    /** One more relay starts: until all call it alive, and it calls all alive. */
    Outcome join() {
        BooleanSupplier isOverdue = deadline();
        HollowFleet fleet = newSettledFleet(1);
        fleet.join();
        return outcome("join", fleet, fleet.advanceUntil(allAlive(relays + 1), TIMEOUT_MICROS, isOverdue));
    }

    /** One relay is killed: until nobody calls it alive. */
    Outcome kill() {
        BooleanSupplier isOverdue = deadline();
        HollowFleet fleet = newSettledFleet(0);
        HollowRelay victim = fleet.relays().get(relays - 1);
        fleet.kill(victim);
        return outcome(
                "kill",
                fleet,
                fleet.advanceUntil(
                        allHaveStatus(List.of(victim), s -> s != MemberStatus.ALIVE), TIMEOUT_MICROS, isOverdue));
    }

    /** One relay is killed: until all have given it up. */
    Outcome killUntilLost() {
        BooleanSupplier isOverdue = deadline();
        HollowFleet fleet = newSettledFleet(0);
        HollowRelay victim = fleet.relays().get(relays - 1);
        fleet.kill(victim);
        return outcome(
                "given-up",
                fleet,
                fleet.advanceUntil(
                        allHaveStatus(List.of(victim), s -> s == MemberStatus.LOST), TIMEOUT_MICROS, isOverdue));
    }

    /** A zone of eight is lost: until all have given up all of it. */
    Outcome loseZone() {
        BooleanSupplier isOverdue = deadline();
        HollowFleet fleet = newSettledFleet(0);
        List<HollowRelay> lost = fleet.relays().stream()
                .filter(relay -> FleetLayout.zone(relay.index()) == ZONES - 1)
                .toList();
        lost.forEach(fleet::kill);
        return outcome(
                "zone",
                fleet,
                fleet.advanceUntil(allHaveStatus(lost, s -> s == MemberStatus.LOST), TIMEOUT_MICROS, isOverdue));
    }

    /** Two regions were apart until each gave up the other, and meet again: until all call all alive. */
    Outcome healPartition() {
        BooleanSupplier isOverdue = deadline();
        HollowFleet fleet = newSettledFleet(0);
        fleet.setPartitioned(true);
        long lostAfterMicros = fleet.advanceUntil(
                view -> view.rows().stream()
                        .noneMatch(row -> isInOtherRegion(fleet, view, row) && row.status() != MemberStatus.LOST),
                TIMEOUT_MICROS,
                isOverdue);
        if (lostAfterMicros < 0) {
            return outcome("heal", fleet, lostAfterMicros);
        }
        fleet.traffic().clear();
        fleet.setPartitioned(false);
        return outcome("heal", fleet, fleet.advanceUntil(allAlive(relays), TIMEOUT_MICROS, isOverdue));
    }

    private static boolean isInOtherRegion(HollowFleet fleet, Membership.View view, MemberTable.Row row) {
        return fleet.region(view.self().id()) != fleet.region(row.incarnation().id());
    }

    private Outcome outcome(String fault, HollowFleet fleet, long micros) {
        return new Outcome(
                fault,
                relays,
                micros,
                fleet.traffic().messages() / (double) relays,
                fleet.traffic().bytes() / (double) relays,
                micros >= 0
                        ? ""
                        : String.format(Locale.ROOT, "no more than %.0f s of work were allowed", maxWallNanos / 1e9));
    }

    private static Predicate<Membership.View> allAlive(int relays) {
        return view -> view.rows().stream()
                        .filter(row -> row.status() == MemberStatus.ALIVE)
                        .count()
                == relays;
    }

    private static Predicate<Membership.View> allHaveStatus(
            List<HollowRelay> members, Predicate<MemberStatus> expected) {
        List<String> ids =
                members.stream().map(relay -> relay.incarnation().id()).toList();
        return view -> view.rows().stream()
                .filter(row -> ids.contains(row.incarnation().id()))
                .allMatch(row -> expected.test(row.status()));
    }
}
