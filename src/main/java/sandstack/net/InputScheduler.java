package sandstack.net;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Divides the time of an event loop's turns among the connections with much input, so that no connection delays the
 * others by more than a slice. A connection whose input takes longer waits for its next slice in the order of arrival,
 * and all that wait share a part of each turn; short input is processed when it is read. Used on the event loop's
 * thread only.
 */
final class InputScheduler {
    /** Input of at least this size waits for its slice; requests are shorter as a rule. */
    static final int MIN_DEFERRED_BYTES = 1024;
    /** How long the input of one connection may be processed at a time. */
    private static final long SLICE_NANOS = 1_000_000;
    /** The part of a turn in which slices begin. */
    private static final long TURN_NANOS = 5_000_000;

    private final Set<Peer> waiting = new LinkedHashSet<>();
    private long sliceEndNanos;

    /** Makes a connection wait for its next slice; no effect if it waits already. */
    void add(Peer peer) {
        waiting.add(peer);
    }

    void remove(Peer peer) {
        waiting.remove(peer);
    }

    boolean isWaiting(Peer peer) {
        return waiting.contains(peer);
    }

    /** Whether any connection waits, so that the next turn is due at once. */
    boolean hasWaiting() {
        return !waiting.isEmpty();
    }

    /** Begins a slice of the connection whose input is processed next. */
    void beginSlice() {
        sliceEndNanos = System.nanoTime() + SLICE_NANOS;
    }

    /** Whether the present slice has ended, so that the rest of the input has to wait. */
    boolean isSliceOver() {
        return System.nanoTime() - sliceEndNanos >= 0;
    }

    /** Gives a slice to each connection that waits, as far as the time of one turn allows. */
    void runTurn() {
        long turnEndNanos = System.nanoTime() + TURN_NANOS;
        for (int slices = waiting.size(); slices > 0 && System.nanoTime() - turnEndNanos < 0; slices--) {
            if (waiting.isEmpty()) {
                // a slice may close other connections
                return;
            }
            Peer next = waiting.iterator().next();
            waiting.remove(next);
            next.processWaitingInput();
        }
    }
}
