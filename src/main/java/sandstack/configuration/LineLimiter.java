package sandstack.configuration;

import java.util.function.Consumer;

/** Lets one line of a kind through in a while and counts the others. One thread; O(1). */
final class LineLimiter {
    private final Consumer<String> lines;
    private final long interval;
    private long lastAt;
    private boolean any;
    private long withheld;

    LineLimiter(Consumer<String> lines, long interval) {
        this.lines = lines;
        this.interval = interval;
    }

    void line(String text, long now) {
        if (any && now - lastAt < interval) {
            withheld++;
            return;
        }
        lines.accept(withheld == 0 ? text : text + "; " + withheld + " like it before");
        any = true;
        lastAt = now;
        withheld = 0;
    }
}
