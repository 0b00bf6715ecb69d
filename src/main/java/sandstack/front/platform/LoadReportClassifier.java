package sandstack.front.platform;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;

/**
 * Tells apart the two values that feed servers send as {@code LOAD X}: the load of a connection, in microseconds of
 * work per second, and, where the settings say that delays are reported, the current message delay in milliseconds. An
 * overloaded server reports its delay once a second, on one connection of each relay. Taken for a load, it would make
 * that connection look idle and attract more load to an overloaded server.
 *
 * <p>Classifies by magnitude where that is enough, else by the reporting interval. O(1) per report, one small entry per
 * feed server. Used on the loop's thread only.
 */
final class LoadReportClassifier {
    /**
     * A smaller value is a delay: a load below a thousandth of a core is insignificant, and a delay of a second or more
     * is preceded by a shorter one a second before.
     */
    private static final double MIN_LOAD = 1_000;
    /** A larger value is a load: no client waits that long for a message. */
    private static final double MAX_DELAY_MILLIS = 10_000;

    private static final long DELAY_INTERVAL_MICROS = 1_000_000;
    private static final long DELAY_INTERVAL_TOLERANCE_MICROS = 20_000;
    private static final int MAX_SERVERS = 4096;

    private final BooleanSupplier delaysReported;
    private final Map<String, Long> lastDelayMicros = new HashMap<>();

    /**
     * Creates a classifier without reports.
     *
     * @param delaysReported whether feed servers report delays at all, by the settings now in force
     */
    LoadReportClassifier(BooleanSupplier delaysReported) {
        this.delaysReported = delaysReported;
    }

    /** Whether this value, just reported by this feed server, is a delay. */
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
            // removed servers would accumulate over the life of the process
            lastDelayMicros
                    .values()
                    .removeIf(reportedMicros ->
                            nowMicros - reportedMicros > DELAY_INTERVAL_MICROS + DELAY_INTERVAL_TOLERANCE_MICROS);
        }
        lastDelayMicros.put(server, nowMicros);
        return true;
    }
}
