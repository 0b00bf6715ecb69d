package sandstack.net;

import java.util.logging.Logger;
import sandstack.core.DeadlineScheduler;

/**
 * Waits before the end of the process until the sockets of all clients have accepted the last output, and for a moment
 * in which clients can close. Used on the event loop's thread only.
 */
public final class FinalFlush {
    /** How long clients have at least to close before the process ends. */
    private static final long MIN_WAIT_MICROS = 150_000;

    private static final long CHECK_INTERVAL_MICROS = 10_000;
    private static final Logger LOG = Logger.getLogger("sandstack.net");

    private final EventLoop loop;
    private final DeadlineScheduler deadlines;
    private final ConnectionAdmission admission;
    private long deadlineMicros;
    private Runnable whenFlushed;

    /** Creates an object that does not wait yet. */
    public FinalFlush(EventLoop loop, DeadlineScheduler deadlines, ConnectionAdmission admission) {
        this.loop = loop;
        this.deadlines = deadlines;
        this.admission = admission;
    }

    /**
     * Begins to wait.
     *
     * @param newDeadlineMicros when the wait ends at the latest, on the loop's clock
     * @param callback called once, from a deadline
     */
    public void begin(long newDeadlineMicros, Runnable callback) {
        deadlineMicros = newDeadlineMicros;
        whenFlushed = callback;
        deadlines.schedule(Math.min(loop.nowMicros() + MIN_WAIT_MICROS, deadlineMicros), this::check);
    }

    private void check() {
        int unsent = admission.peersWithUnsentOutput();
        if (unsent > 0 && loop.nowMicros() < deadlineMicros) {
            deadlines.schedule(Math.min(loop.nowMicros() + CHECK_INTERVAL_MICROS, deadlineMicros), this::check);
            return;
        }
        if (unsent > 0) {
            LOG.warning("process ends with unsent output clients=" + unsent);
        }
        whenFlushed.run();
    }
}
