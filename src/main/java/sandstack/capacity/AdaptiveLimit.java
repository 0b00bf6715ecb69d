package sandstack.capacity;

/**
 * The most that one server takes of one quantity (connections or load), learned from success and failure. The limit is
 * infinite until the first failure, which sets it to what was in use at that moment. From then on it is raised by
 * trials: one connection past the limit, at a moment drawn uniformly from an interval of 2^n slots.
 *
 * <ul>
 *   <li>A trial that succeeds resets n to its minimum and raises the limit towards the plateau, the value it had before
 *       the failure: by a quarter of the gap, or by a step that doubles with each success, whichever is more, but by no
 *       more than a quarter of the limit. Past the plateau the steps begin at one again, as the window of CUBIC does
 *       (RFC 9438, 4.1).
 *   <li>A trial that fails increments n, and the next interval starts where the current one ends, as in a backoff
 *       between retries.
 * </ul>
 *
 * <p>Owned by one {@link CapacityEstimate}; used by one thread; every call is O(1) and allocates nothing.
 */
final class AdaptiveLimit {
    /** The longest interval between trials is 2 to this power, in slots. */
    static final int MAX_BACKOFF_EXPONENT = 8;
    /** The same for the shortest interval: a server shows the effect of a trial only after a while. */
    private static final int MIN_BACKOFF_EXPONENT = 4;
    /** The largest step, as a fraction of the limit, so that no single trial admits a flood. */
    private static final double MAX_STEP_FRACTION = 0.25;
    /** Where a step stops doubling, so that it cannot overflow. */
    private static final int MAX_STEP = 1 << 20;
    /** Half of the smallest value, so that adding a duration to it cannot underflow. */
    private static final long LONG_AGO_MICROS = Long.MIN_VALUE / 2;

    private final long slotMicros;
    private double limit = Double.POSITIVE_INFINITY;
    private double plateau;
    /** In units of what one connection adds. */
    private double step = 1;

    private int backoffExponent;
    private long intervalEndMicros = LONG_AGO_MICROS;
    private long nextTrialMicros;
    private boolean trialInFlight;
    private boolean trialSinceFailure;

    /**
     * Creates a limit that is infinite.
     *
     * @param slotMicros the unit of the intervals between trials
     */
    AdaptiveLimit(long slotMicros) {
        this.slotMicros = slotMicros;
    }

    /** The present limit; infinite before the first failure. */
    double limit() {
        return limit;
    }

    /** Whether a failure, or a stated start, has set a finite limit. */
    boolean isLimited() {
        return limit < Double.POSITIVE_INFINITY;
    }

    /** Whether this much more is within the limit, or a trial is due. */
    boolean admits(double inUse, double added, long nowMicros) {
        return inUse + added <= limit || (!trialInFlight && nowMicros >= nextTrialMicros);
    }

    /** This much more was sent; past the limit it is a trial. */
    void onSent(double inUse, double added) {
        if (inUse + added > limit) {
            trialInFlight = true;
            trialSinceFailure = true;
        }
    }

    /** A trial ended without evidence on the server: the client disconnected, or the attempt was never sent. */
    void onInconclusive() {
        trialInFlight = false;
    }

    /**
     * What was sent is established.
     *
     * @param inUse what is in use now, the new connection included
     * @param unit what one connection adds on average
     * @param uniformDraw from [0, 1)
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

    /** Past the plateau nothing is known: small steps first, growing again. */
    private void leavePlateau(double inUse) {
        step = 1;
        plateau = 2 * inUse + 1;
    }

    /** Capacity lost at once mostly returns at once; the next failure ends the rise where it does not. */
    private void raiseTowardsPlateau(double inUse, double unit) {
        double wantedStep = Math.max((step - 1) * unit, (plateau - inUse) * MAX_STEP_FRACTION);
        double allowedStep = Math.min(wantedStep, Math.min(inUse * MAX_STEP_FRACTION, plateau - inUse));
        limit += Math.max(0, allowedStep);
        step = Math.min(step * 2, MAX_STEP);
    }

    /**
     * The server failed or rejected.
     *
     * @param inUse what remained in use, which becomes the limit
     * @param uniformDraw from [0, 1)
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

    /** Failures within one interval that no trial caused count as one: the backoff grows once. */
    private boolean isPartOfBurst(long nowMicros) {
        return isLimited() && !trialSinceFailure && nowMicros < intervalEndMicros;
    }

    /** The next interval starts at the end of the current one, but no later than the longest interval from now. */
    private void scheduleTrial(long nowMicros, double uniformDraw) {
        long longestMicros = slotMicros << MAX_BACKOFF_EXPONENT;
        long beginMicros = Math.min(Math.max(nowMicros, intervalEndMicros), nowMicros + longestMicros);
        long intervalMicros = slotMicros << backoffExponent;
        intervalEndMicros = beginMicros + intervalMicros;
        nextTrialMicros = beginMicros + (long) (uniformDraw * intervalMicros);
    }

    /** Sets the limit that an operator states, before there is evidence; trials past it are due at once. */
    void startAt(double stated) {
        if (!isLimited() && stated > 0) {
            limit = stated;
            plateau = stated;
        }
    }

    /** The server restarted: what was learned of the previous process limits nothing. */
    void reset() {
        limit = Double.POSITIVE_INFINITY;
        trialInFlight = false;
        trialSinceFailure = false;
        step = 1;
        backoffExponent = 0;
    }
}
