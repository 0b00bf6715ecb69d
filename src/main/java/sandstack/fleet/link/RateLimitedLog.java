package sandstack.fleet.link;

import java.util.logging.Logger;

/**
 * Warnings that peers can provoke, at most one in {@link #INTERVAL_MICROS}, so that a misbehaving peer cannot flood the
 * log. On the fleet's thread.
 */
final class RateLimitedLog {
    private static final long INTERVAL_MICROS = 10_000_000;

    private final Logger log;
    private long lastWarningMicros = Long.MIN_VALUE / 2;
    private int suppressed;

    RateLimitedLog(Logger log) {
        this.log = log;
    }

    void warning(String message) {
        if (FleetExecutor.nowMicros() - lastWarningMicros < INTERVAL_MICROS) {
            suppressed++;
            return;
        }
        log.warning(message + " suppressed=" + suppressed);
        lastWarningMicros = FleetExecutor.nowMicros();
        suppressed = 0;
    }
}
