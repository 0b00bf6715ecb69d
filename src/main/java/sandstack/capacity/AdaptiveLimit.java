package sandstack.capacity;

/**
 * An adaptive upper limit of what one server holds of one quantity (connections or load), learned from successes and
 * failures. The limit is infinite until the first failure, which sets it to the amount in use at that time. After that
 * only trials raise it. A trial exceeds the limit by one connection, at a time drawn uniformly from an interval of 2^n
 * slots.
 *
 * <ul>
 *   <li>A trial that succeeds resets n to its minimum and raises the limit towards the plateau, which is the limit
 *       before the failure. It raises it by a quarter of the gap or by a step that doubles with each success, whichever
 *       is larger, but by at most a quarter of the limit and not past the plateau. A trial that reaches the plateau
 *       raises the limit by its one connection only. It starts the step again at 1, like the window growth of CUBIC
 *       (RFC 9438, section 4.1), and sets a new plateau at about twice the amount in use.
 *   <li>A trial that fails increments n, and the next interval starts where the current one ends, as in a backoff
 *       between retries.
 * </ul>
 *
 * <p>Owned by one {@link CapacityEstimate}; used by one thread; every call is O(1) and allocates nothing.
 */
final class AdaptiveLimit {
    /** Largest n, for the longest interval of 2^n slots. */
    static final int MAX_BACKOFF_EXPONENT = 8;
    /** Smallest n, for the shortest interval; a server shows the effect of a trial only after some time. */
    private static final int MIN_BACKOFF_EXPONENT = 4;
    /**
     * Largest raise after one trial, as a fraction of the limit, so that no single trial admits a flood of connections.
     */
    private static final double MAX_STEP_FRACTION = 0.25;
    /** Upper bound of the step, so that repeated doubling cannot overflow. */
    private static final int MAX_STEP = 1 << 20;
    /** A time before all others; half of {@link Long#MIN_VALUE}, so that differences do not overflow. */
    private static final long LONG_AGO_MICROS = Long.MIN_VALUE / 2;

    private final long slotMicros;
    private double limit = Double.POSITIVE_INFINITY;
    /** Limit before the last failure; after a trial that reached it, about twice the amount in use at that time. */
    private double plateau;
    /**
     * Raise by the next trial, before the bounds in the class comment apply, as a multiple of the amount that one
     * connection adds.
     */
    private double step = 1;
    /** The n of the current interval; 0 initially and after a restart of the server. */
    private int backoffExponent;

    private long intervalEndMicros = LONG_AGO_MICROS;
    private long nextTrialMicros;
    private boolean trialInFlight;
    private boolean trialSinceFailure;

    /**
     * Creates an infinite limit.
     *
     * @param slotMicros unit of the intervals between trials
     */
    AdaptiveLimit(long slotMicros) {
        this.slotMicros = slotMicros;
    }

    /** The current limit; infinite until a failure or a stated capacity sets it. */
    double limit() {
        return limit;
    }

    /** Whether a failure or a stated capacity has set a finite limit. */
    boolean isLimited() {
        return limit < Double.POSITIVE_INFINITY;
    }

    /** Whether {@code added} more fits within the limit, or a trial is due. */
    boolean admits(double inUse, double added, long nowMicros) {
        return inUse + added <= limit || (!trialInFlight && nowMicros >= nextTrialMicros);
    }

    /** Records an attempt that adds {@code added}; if that exceeds the limit, the attempt is a trial. */
    void onSent(double inUse, double added) {
        if (inUse + added > limit) {
            trialInFlight = true;
            trialSinceFailure = true;
        }
    }

    /** Ends a trial that gave no evidence about the server: the client disconnected, or the attempt was never sent. */
    void onInconclusive() {
        trialInFlight = false;
    }

    /**
     * Records an established connection. If the amount in use exceeds the limit, the limit becomes that amount, and a
     * trial raises it further.
     *
     * @param inUse amount in use, including the new connection
     * @param unit average amount that one connection adds
     * @param uniformDraw random draw from [0, 1) that determines the time of the next trial
     */
    void onEstablished(double inUse, double unit, long nowMicros, double uniformDraw) {
        if (inUse <= limit) {
            return;
        }
        limit = inUse;
        if (!trialInFlight) {
            return;
        }
        trialInFlight = false;
        if (inUse >= plateau) {
            leavePlateau(inUse);
        } else {
            raiseTowardsPlateau(inUse, unit);
        }
        backoffExponent = MIN_BACKOFF_EXPONENT;
        scheduleTrial(nowMicros, uniformDraw);
    }

    /** From the plateau on there is no evidence of the capacity, so the step starts again at 1. */
    private void leavePlateau(double inUse) {
        step = 1;
        plateau = 2 * inUse + 1;
    }

    /**
     * Raises the limit in large steps, since capacity that was lost abruptly mostly returns abruptly. If it has not
     * returned, the next failure ends the rise.
     */
    private void raiseTowardsPlateau(double inUse, double unit) {
        double wantedStep = Math.max((step - 1) * unit, (plateau - inUse) * MAX_STEP_FRACTION);
        double allowedStep = Math.min(wantedStep, Math.min(inUse * MAX_STEP_FRACTION, plateau - inUse));
        limit += Math.max(0, allowedStep);
        step = Math.min(step * 2, MAX_STEP);
    }

    /**
     * Records that the server rejected or dropped a connection.
     *
     * @param inUse amount still in use, to which the limit is lowered
     * @param uniformDraw random draw from [0, 1) that determines the time of the next trial
     */
    void onFailure(double inUse, long nowMicros, double uniformDraw) {
        if (!isPartOfBurst(nowMicros)) {
            plateau = Math.max(inUse, isLimited() ? Math.min(plateau, limit) : inUse);
            backoffExponent = Math.min(Math.max(backoffExponent, MIN_BACKOFF_EXPONENT) + 1, MAX_BACKOFF_EXPONENT);
            scheduleTrial(nowMicros, uniformDraw);
        }
        limit = Math.min(limit, Math.max(0, inUse));
        step = 1;
        trialInFlight = false;
        trialSinceFailure = false;
    }

    /**
     * Whether the failure continues a burst: failures within one interval, without a trial between them, count as one,
     * so that the backoff grows only once.
     */
    private boolean isPartOfBurst(long nowMicros) {
        return isLimited() && !trialSinceFailure && nowMicros < intervalEndMicros;
    }

    /**
     * Draws the time of the next trial. Its interval starts when the current one ends, or now if that has ended, but no
     * later than one longest interval from now.
     */
    private void scheduleTrial(long nowMicros, double uniformDraw) {
        long longestMicros = slotMicros << MAX_BACKOFF_EXPONENT;
        long beginMicros = Math.min(Math.max(nowMicros, intervalEndMicros), nowMicros + longestMicros);
        long intervalMicros = slotMicros << backoffExponent;
        intervalEndMicros = beginMicros + intervalMicros;
        nextTrialMicros = beginMicros + (long) (uniformDraw * intervalMicros);
    }

    /**
     * Sets the initial limit from a stated capacity, if there is no limit yet and the value is positive. Without
     * earlier failures, a trial past it is due at once.
     */
    void setInitialLimit(double stated) {
        if (!isLimited() && stated > 0) {
            limit = stated;
            plateau = stated;
        }
    }

    /**
     * Removes the limit after the server has restarted: evidence about the previous process does not limit the new one.
     */
    void reset() {
        limit = Double.POSITIVE_INFINITY;
        trialInFlight = false;
        trialSinceFailure = false;
        step = 1;
        backoffExponent = 0;
    }
}
