package sandstack.fleet;

import java.util.List;

/**
 * A member's quorum state at one moment, with the evidence. It says what may begin here. Other members may assess
 * differently, so nothing that must hold across a partition may rest on it alone.
 *
 * @param sinceMicros since when the state has lasted, by the caller's clock
 * @param assessedAtMicros when it was last assessed
 * @param reachable names of the configured relays that are reachable, this one among them
 * @param unreachable names of those that are not
 * @param reason one sentence for operators
 */
public record QuorumAssessment(
        QuorumState state,
        long sinceMicros,
        long assessedAtMicros,
        List<String> reachable,
        List<String> unreachable,
        String reason) {
    /** An older assessment means that this process has stalled since. */
    static final long MAX_AGE_MICROS = Membership.STALL_THRESHOLD_MICROS;

    private static final long MICROS_PER_SECOND = 1_000_000;

    /** Copies the lists. */
    public QuorumAssessment {
        reachable = List.copyOf(reachable);
        unreachable = List.copyOf(unreachable);
    }

    /** Whether this operation may begin. */
    public boolean allows(GuardedOperation operation) {
        return operation.allowedStates().contains(state);
    }

    /** The assessment as it counts at this moment: {@link QuorumState#UNKNOWN} if it is out of date. */
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
