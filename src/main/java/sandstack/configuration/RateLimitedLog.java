package sandstack.configuration;

import java.util.function.Consumer;

/** Lets one line of a kind through in a while and counts the others. One thread; O(1). */
final class RateLimitedLog {
    private final Consumer<String> output;
    private final long intervalMicros;
    private long lastLoggedMicros;
    private boolean hasLogged;
    private long suppressed;

    RateLimitedLog(Consumer<String> output, long intervalMicros) {
        this.output = output;
        this.intervalMicros = intervalMicros;
    }

    void log(String text, long nowMicros) {
        if (hasLogged && nowMicros - lastLoggedMicros < intervalMicros) {
            suppressed++;
            return;
        }
        output.accept(suppressed == 0 ? text : text + "; " + suppressed + " like it before");
        hasLogged = true;
        lastLoggedMicros = nowMicros;
        suppressed = 0;
    }
}
