package sandstack.fleet;

/** On what ground a member stands with the others when it wants to act for the fleet. */
public enum QuorumState {
    /** All relays that staff state are reached, and all of them reach each other. */
    WHOLE,
    /** More than half of the relays that staff state are reached; two halves never both are. */
    MOST,
    /** Some others are reached, but no more than half of all. */
    FEW,
    /** Nobody is reached, and there should be others. */
    ALONE,
    /** What this member believes may be old or one-sided: it has just started, stood still, or views differ. */
    UNSURE
}
