package sandstack.fleet;

import java.util.List;

/**
 * On what ground a member stands, and how it knows. It says what may be begun; it is no promise that others find the same,
 * and nothing that must hold across a cut may rest on it alone.
 *
 * @param since when it began, of the caller's clock
 * @param at when it was last looked at
 * @param with names of the stated relays that are reached, this one among them
 * @param without names of those that are not
 * @param why one sentence
 */
public record QuorumAssessment(
        QuorumState ground, long since, long at, List<String> with, List<String> without, String why) {
    /** Older than this, the member stood still meanwhile. */
    static final long FRESH = Membership.SLEPT;

    /** Copies the lists. */
    public QuorumAssessment {
        with = List.copyOf(with);
        without = List.copyOf(without);
    }

    /** Whether this act may begin. */
    public boolean allows(GuardedOperation act) {
        return act.allowedOn().contains(ground);
    }

    /** The same as it counts at this moment: what was found before a standstill is not acted on. */
    public QuorumAssessment asOf(long now) {
        return now - at <= FRESH
                ? this
                : new QuorumAssessment(
                        QuorumState.UNSURE,
                        at,
                        now,
                        with,
                        without,
                        "this process stood still for " + (now - at) / 1_000_000 + " s and has not looked since");
    }
}
