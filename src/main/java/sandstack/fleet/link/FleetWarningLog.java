package sandstack.fleet.link;

import java.util.logging.Logger;

/**
 * Logs warnings that peers can cause, at most one per {@link #INTERVAL_MICROS}, so that a faulty peer cannot flood the
 * log. The next warning contains the number of suppressed ones. Used on the fleet's thread.
 */
final class FleetWarningLog {
    private static final long INTERVAL_MICROS = 10_000_000;

    private final Logger log;
    private long lastWarningMicros = Long.MIN_VALUE / 2;
    private int suppressed;

    FleetWarningLog(Logger log) {
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
