package sandstack.measure.configuration;

import java.util.HashMap;
import java.util.Map;

/**
 * The largest number of hellos that any one control machine receives in a simulated second. A hello is the message with
 * which a relay requests a session. Samples the counts every simulated second from construction on. Not thread-safe.
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

    /** Returns the peak in hellos per second since the last call, and resets it. */
    double takePeak() {
        long taken = peak;
        peak = 0;
        return taken;
    }
}
