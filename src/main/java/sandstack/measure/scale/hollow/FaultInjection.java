package sandstack.measure.scale.hollow;

import java.util.List;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import sandstack.fleet.MemberStatus;
import sandstack.fleet.MemberTable;
import sandstack.fleet.Membership;

/**
 * Injects faults into hollow fleets and measures the simulated time until all observed relays have detected them. Each
 * fault uses a new fleet; the simulation is aborted when it exceeds its wall-clock limit.
 */
final class FaultInjection {
    /** Maximum simulated time from a fault to its detection. */
    private static final long TIMEOUT_MICROS = 600_000_000;
    /** Simulated time before a fault, so that the startup traffic has ended and is not counted. */
    private static final long SETTLE_MICROS = 3_000_000;

    private static final int ZONES = FleetLayout.ZONES;
    private static final long SEED = 40;

    /**
     * Time and traffic from a fault to its detection; of a partition, from its end to the detection of that.
     *
     * @param fault name of the fault in series ids
     * @param relays size of the fleet
     * @param micros simulated time until detection; -1 if the timeout or the wall-clock limit came first
     * @param messages messages sent until then, divided by the number of relays
     * @param bytes bytes sent until then, divided by the number of relays
     * @param abortReason why there is no detection, as stored in the method of the series; empty if complete
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
     * Sets the size of the fleets, of which each fault creates its own.
     *
     * @param fleetSize number of relays
     * @param maxWallSeconds wall-clock limit of one fault
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

    /** Starts one more relay; ends when all relays are alive in the views of all observed relays. */
    Outcome join() {
        BooleanSupplier isOverdue = deadline();
        HollowFleet fleet = newSettledFleet(1);
        fleet.join();
        return outcome("join", fleet, fleet.advanceUntil(allAlive(relays + 1), TIMEOUT_MICROS, isOverdue));
    }

    /** Kills one relay; ends when it is not alive in the view of any observed relay. */
    Outcome kill() {
        return kill("kill", status -> status != MemberStatus.ALIVE);
    }

    /** Kills one relay; ends when all observed relays have declared it lost. */
    Outcome killUntilLost() {
        return kill("given-up", status -> status == MemberStatus.LOST);
    }

    private Outcome kill(String fault, Predicate<MemberStatus> expected) {
        BooleanSupplier isOverdue = deadline();
        HollowFleet fleet = newSettledFleet(0);
        HollowRelay victim = fleet.relays().get(relays - 1);
        fleet.kill(victim);
        Predicate<Membership.View> detected = allHaveStatus(List.of(victim), expected);
        return outcome(fault, fleet, fleet.advanceUntil(detected, TIMEOUT_MICROS, isOverdue));
    }

    /** Kills all relays of one zone; ends when all other observed relays have declared them lost. */
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
                fleet.advanceUntil(
                        allHaveStatus(lost, status -> status == MemberStatus.LOST), TIMEOUT_MICROS, isOverdue));
    }

    /**
     * Partitions the regions until the observed relays of each have declared those of the other lost, then heals the
     * partition; ends when all relays are alive in the views of all observed relays.
     */
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
