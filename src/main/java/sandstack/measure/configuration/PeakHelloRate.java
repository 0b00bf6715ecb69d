package sandstack.measure.configuration;

import java.util.HashMap;
import java.util.Map;

/**
 * The peak rate of hellos, with which relays request sessions, per second at one control machine. Sampled every
 * simulated second. Not thread-safe.
 */
final class PeakHelloRate {
    private static final long SAMPLE_INTERVAL_MICROS = 1_000_000;

    private final HollowConfigurationFleet fleet;
    private final Map<HollowControlMachine, Long> lastCounts = new HashMap<>();
    private long peak;

    PeakHelloRate(HollowConfigurationFleet fleet) {
        this.fleet = fleet;
        sample();
    }

    private void sample() {
        for (HollowControlMachine machine : fleet.machines()) {
            Long lastCount = lastCounts.put(machine, machine.helloCount());
            peak = Math.max(peak, lastCount == null ? 0 : machine.helloCount() - lastCount);
        }
        fleet.clock().schedule(SAMPLE_INTERVAL_MICROS, this::sample);
    }

    /** Returns and resets the peak. */
    double takePeak() {
        long taken = peak;
        peak = 0;
        return taken;
    }
}
