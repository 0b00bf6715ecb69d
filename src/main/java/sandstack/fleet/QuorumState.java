package sandstack.fleet;

/**
 * The part of the configured relays that a member reaches. Determines which {@link GuardedOperation}s it may begin.
 * Decommissioned relays that are not members again do not count as configured here.
 */
public enum QuorumState {
    /** All configured relays are reachable, and all of them reach each other. */
    COMPLETE("WHOLE"),
    /**
     * More than half of the configured relays are reachable. Two sides of a partition that have detected it are not
     * both in this state, unless they differ in their configured or their decommissioned relays.
     */
    MAJORITY("MOST"),
    /** Other relays are reachable, but with this one no more than half of the configured relays. */
    MINORITY("FEW"),
    /** No other relay is reachable, although others are configured. */
    ISOLATED("ALONE"),
    /**
     * The local view may be stale or incomplete: this member has just started, stalled or changed its state, or the
     * members differ in their views or their configured relays, or no relays are configured, or this one is not among
     * them.
     */
    UNKNOWN("UNSURE");

    private final String label;

    QuorumState(String label) {
        this.label = label;
    }

    /**
     * The state with this label.
     *
     * @throws IllegalArgumentException if there is none
     */
    public static QuorumState ofLabel(String label) {
        for (QuorumState state : values()) {
            if (state.label.equals(label)) {
                return state;
            }
        }
        throw new IllegalArgumentException("not the label of a quorum state: " + label);
    }

    /** The label in log lines and console output, which operators and other programs read. */
    public String label() {
        return label;
    }

    @Override
    public String toString() {
        return label;
    }
}
