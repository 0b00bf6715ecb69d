package sandstack.capacity;

/**
 * The most that one server takes of one measure (connections, or load), as evidence has bounded it. There is no bound
 * until something went wrong; then it is what stood when it did. It is raised by trials: one connection past the
 * bound, at a moment drawn over an interval of 2^n slots. One that stands clears n and takes the bound a quarter of
 * the way, or by a step that doubles, to where it was last (the plateau of CUBIC, RFC 9438, 4.1); past that the steps
 * begin at one again. A trial that fails makes n rise, and the next interval starts where the current one ends, as for retries.
 *
 * <p>Owned by one {@link CapacityEstimate}; one thread; every call is O(1) and allocates nothing.
 */
final class AdaptiveLimit {
    /** Interval n spans 2^n slots; n stops growing here. */
    static final int MAX_BACKOFF_EXPONENT = 8;
    /** And is no less than this: what a trial does to a server shows only after a while. */
    private static final int MIN_BACKOFF_EXPONENT = 4;
    /** A step is at most this part of the bound, so that no trial lets in a flood. */
    private static final double MAX_STEP_FRACTION = 0.25;

    private final long slotMicros;
    private double limit = Double.POSITIVE_INFINITY;
    private double plateau;
    private double step = 1;
    private int backoffExponent;
    private long intervalEndMicros = Long.MIN_VALUE / 2;
    private long nextTrialMicros;
    private boolean trialInFlight;
    private boolean trialSinceFailure;

    AdaptiveLimit(long slotMicros) {
        this.slotMicros = slotMicros;
    }

    double limit() {
        return limit;
    }

    boolean isLimited() {
        return limit < Double.POSITIVE_INFINITY;
    }

    /** Whether so much more fits, or a trial is due. */
    boolean admits(double inUse, double added, long nowMicros) {
        return inUse + added <= limit || (!trialInFlight && nowMicros >= nextTrialMicros);
    }

    /** So much more was sent. */
    void onSent(double inUse, double added) {
        if (inUse + added > limit) {
            trialInFlight = true;
            trialSinceFailure = true;
        }
    }

    /** A trial ended without word on the server: its client left, or it was never sent. */
    void onInconclusive() {
        trialInFlight = false;
    }

    /** What was sent stands: so much is held now. */
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
            // past where it was last nothing is known: carefully first, then faster again
            step = 1;
            plateau = 2 * inUse + 1;
        } else {
            // what was lost at once returns at once more often than not, and the next failure closes it again
            double wantedStep = Math.max((step - 1) * unit, (plateau - inUse) * MAX_STEP_FRACTION);
            double allowedStep = Math.min(wantedStep, Math.min(inUse * MAX_STEP_FRACTION, plateau - inUse));
            limit += Math.max(0, allowedStep);
            step = Math.min(step * 2, 1 << 20);
        }
        backoffExponent = MIN_BACKOFF_EXPONENT;
        scheduleTrial(nowMicros, uniformDraw);
    }

    /** It went wrong while so much was held. */
    void onFailure(double inUse, long nowMicros, double uniformDraw) {
        boolean burst = isLimited() && !trialSinceFailure && nowMicros < intervalEndMicros;
        if (!burst) {
            plateau = Math.max(inUse, isLimited() ? Math.min(plateau, limit) : inUse);
            backoffExponent = Math.min(Math.max(backoffExponent, MIN_BACKOFF_EXPONENT) + 1, MAX_BACKOFF_EXPONENT);
            scheduleTrial(nowMicros, uniformDraw);
        }
        limit = Math.min(limit, Math.max(0, inUse));
        step = 1;
        trialInFlight = false;
        trialSinceFailure = false;
    }

    private void scheduleTrial(long nowMicros, double uniformDraw) {
        // evidence that comes without a trial, however often, puts the next one off by one longest interval
        long beginMicros =
                Math.min(Math.max(nowMicros, intervalEndMicros), nowMicros + (slotMicros << MAX_BACKOFF_EXPONENT));
        intervalEndMicros = beginMicros + (slotMicros << backoffExponent);
        nextTrialMicros = beginMicros + (long) (uniformDraw * (slotMicros << backoffExponent));
    }

    /** What somebody else says of the bound, before there is evidence: a start, past which trials go at once. */
    void startAt(double stated) {
        if (!isLimited() && stated > 0) {
            limit = stated;
            plateau = stated;
        }
    }

    /** The server began anew: what the old process did before it fell bounds nothing. */
    void reset() {
        limit = Double.POSITIVE_INFINITY;
        trialInFlight = false;
        trialSinceFailure = false;
        step = 1;
        backoffExponent = 0;
    }
}
