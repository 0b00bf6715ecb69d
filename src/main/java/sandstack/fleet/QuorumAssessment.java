package sandstack.fleet;

import java.util.List;

/**
 * On what ground a member stands, and how it knows. It says what may be begun; it is no promise that others find the same,
 * and nothing that must hold across a cut may rest on it alone.
 *
 * @param sinceMicros when it began, of the caller's clock
 * @param assessedAtMicros when it was last looked at
 * @param reachable names of the stated relays that are reached, this one among them
 * @param unreachable names of those that are not
 * @param reason one sentence
 */
public record QuorumAssessment(
        QuorumState state,
        long sinceMicros,
        long assessedAtMicros,
        List<String> reachable,
        List<String> unreachable,
        String reason) {
    /** Older than this, the member stood still meanwhile. */
    static final long MAX_AGE_MICROS = Membership.STALL_THRESHOLD_MICROS;

    /** Copies the lists. */
    public QuorumAssessment {
        reachable = List.copyOf(reachable);
        unreachable = List.copyOf(unreachable);
    }

    /** Whether this act may begin. */
    public boolean allows(GuardedOperation operation) {
        return operation.allowedStates().contains(state);
    }

    /** The same as it counts at this moment: what was found before a standstill is not acted on. */
    public QuorumAssessment asOf(long nowMicros) {
        return nowMicros - assessedAtMicros <= MAX_AGE_MICROS
                ? this
                : new QuorumAssessment(
                        QuorumState.UNKNOWN,
                        assessedAtMicros,
                        nowMicros,
                        reachable,
                        unreachable,
                        "this process stood still for " + (nowMicros - assessedAtMicros) / 1_000_000
                                + " s and has not looked since");
    }
}
