package sandstack.concurrent;

import java.util.concurrent.Future;

/** Static methods for {@link Future}. */
public final class Futures {
    private Futures() {}

    /**
     * Does nothing: shows that the caller deliberately neither waits for a future nor looks at its failure. The caller
     * comments on the reason.
     */
    public static void ignore(Future<?> unused) {}
}
