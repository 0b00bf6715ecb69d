package sandstack.front.platform;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;

/**
 * Distinguishes the two values that feed servers report as {@code LOAD X}: the load of a connection, in microseconds of
 * work per second, and, if the settings enable delay reports, the current message delay in milliseconds. An overloaded
 * server reports its delay once per second, on one connection of each relay. If the relay took a delay for a load, that
 * connection would look idle, and the overloaded server would be sent more clients.
 *
 * <p>Classifies by magnitude where that is unambiguous, otherwise by the reporting interval. O(1) per report, one small
 * entry per feed server. Used on the event loop's thread only.
 */
final class LoadReportClassifier {
    /**
     * A smaller value is a delay, because a load below a thousandth of a core is insignificant. From this value on, it
     * is a delay only if the server has reported a delay one reporting interval before: a delay of a second or more is
     * preceded by a shorter one.
     */
    private static final double MIN_LOAD = 1_000;
    /** A value of at least this is a load: no client waits that long for a message. */
    private static final double MAX_DELAY_MILLIS = 10_000;

    private static final long DELAY_INTERVAL_MICROS = 1_000_000;
    private static final long DELAY_INTERVAL_TOLERANCE_MICROS = 20_000;
    private static final int MAX_SERVERS = 4096;

    private final BooleanSupplier delaysReported;
    private final Map<String, Long> lastDelayMicros = new HashMap<>();

    /**
     * Creates a classifier to which no delay has been reported.
     *
     * @param delaysReported whether feed servers report delays at all, according to the current settings
     */
    LoadReportClassifier(BooleanSupplier delaysReported) {
        this.delaysReported = delaysReported;
    }

    /**
     * Whether the value that this feed server has just reported is a delay. A delay is recorded, so call this once per
     * report.
     */
    boolean isDelay(String server, double value, long nowMicros) {
        if (!delaysReported.getAsBoolean() || !(value >= 0) || value >= MAX_DELAY_MILLIS) {
            return false;
        }
        if (value >= MIN_LOAD) {
            Long previousMicros = lastDelayMicros.get(server);
            if (previousMicros == null
                    || Math.abs(nowMicros - previousMicros - DELAY_INTERVAL_MICROS) > DELAY_INTERVAL_TOLERANCE_MICROS) {
                return false;
            }
        }
        if (lastDelayMicros.size() >= MAX_SERVERS) {
            // entries of removed servers would otherwise accumulate until the process ends
            lastDelayMicros
                    .values()
                    .removeIf(reportedMicros ->
                            nowMicros - reportedMicros > DELAY_INTERVAL_MICROS + DELAY_INTERVAL_TOLERANCE_MICROS);
        }
        lastDelayMicros.put(server, nowMicros);
        return true;
    }
}
