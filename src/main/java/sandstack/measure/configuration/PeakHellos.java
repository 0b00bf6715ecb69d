package sandstack.measure.configuration;

import java.util.HashMap;
import java.util.Map;

/** Hellos in the busiest second at the busiest control machine, looked at once a simulated second. One thread. */
final class PeakHellos {
    private static final long SECOND = 1_000_000;

    private final HollowConfigurationFleet fleet;
    private final Map<HollowControlMachine, Long> before = new HashMap<>();
    private long peak;

    PeakHellos(HollowConfigurationFleet fleet) {
        this.fleet = fleet;
        look();
    }

    private void look() {
        for (HollowControlMachine machine : fleet.machines()) {
            Long last = before.put(machine, machine.hellos());
            peak = Math.max(peak, last == null ? 0 : machine.hellos() - last);
        }
        fleet.clock().after(SECOND, this::look);
    }

    /** The peak since the last call. */
    double takePeak() {
        long taken = peak;
        peak = 0;
        return taken;
    }
}
