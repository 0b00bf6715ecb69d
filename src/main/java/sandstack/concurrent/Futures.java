package sandstack.concurrent;

import java.util.concurrent.Future;

/** Utility methods for {@link Future}. */
public final class Futures {
    private Futures() {}

    /**
     * Does nothing. Marks a future that the caller deliberately neither waits for nor checks for failure; a comment at
     * the call gives the reason.
     */
    public static void ignore(Future<?> unused) {}
}
