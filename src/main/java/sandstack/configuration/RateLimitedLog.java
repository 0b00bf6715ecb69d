package sandstack.configuration;

import java.util.function.Consumer;

/**
 * Writes at most one line per interval of 10 seconds. The next line that is written ends with the number of lines that
 * were suppressed. One instance is for lines of one kind. Not thread-safe; a call costs O(1).
 */
final class RateLimitedLog {
    private static final long INTERVAL_MICROS = 10_000_000;

    private final Consumer<String> output;
    private boolean hasLogged;
    private long lastLoggedMicros;
    private long suppressed;

    RateLimitedLog(Consumer<String> output) {
        this.output = output;
    }

    void log(String text, long nowMicros) {
        if (hasLogged && nowMicros - lastLoggedMicros < INTERVAL_MICROS) {
            suppressed++;
            return;
        }
        output.accept(suppressed == 0 ? text : text + " suppressed=" + suppressed);
        hasLogged = true;
        lastLoggedMicros = nowMicros;
        suppressed = 0;
    }
}
