package sandstack.fleet;

import java.util.List;

/**
 * A member's quorum state at one moment, with the relays that it is based on. Determines which operations may begin on
 * this member. Other members may come to another assessment, so nothing that must hold across a partition may depend on
 * it alone.
 *
 * @param sinceMicros when the state began, by the caller's clock
 * @param assessedAtMicros time of this assessment, by the caller's clock
 * @param reachable names of the configured relays that are reachable, including this one
 * @param unreachable names of the configured relays that are neither reachable nor decommissioned
 * @param reason short explanation for operators
 */
public record QuorumAssessment(
        QuorumState state,
        long sinceMicros,
        long assessedAtMicros,
        List<String> reachable,
        List<String> unreachable,
        String reason) {
    /** An older assessment is out of date: this process has stalled since. */
    static final long MAX_AGE_MICROS = Membership.STALL_THRESHOLD_MICROS;

    private static final long MICROS_PER_SECOND = 1_000_000;

    /** Copies the lists, which makes the assessment immutable. */
    public QuorumAssessment {
        reachable = List.copyOf(reachable);
        unreachable = List.copyOf(unreachable);
    }

    /** Whether this operation may begin in the assessed state. */
    public boolean allows(GuardedOperation operation) {
        return operation.allowedStates().contains(state);
    }

    /** The assessment that applies at {@code nowMicros}: {@link QuorumState#UNKNOWN} if this one is out of date. */
    public QuorumAssessment asOf(long nowMicros) {
        long ageMicros = nowMicros - assessedAtMicros;
        if (ageMicros <= MAX_AGE_MICROS) {
            return this;
        }
        return new QuorumAssessment(
                QuorumState.UNKNOWN,
                assessedAtMicros,
                nowMicros,
                reachable,
                unreachable,
                "this process stood still for " + ageMicros / MICROS_PER_SECOND + " s and has not looked since");
    }
}
