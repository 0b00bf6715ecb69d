package sandstack.fleet;

/** The part of the configured relays that a member reaches. Determines which {@link GuardedOperation}s it may begin. */
public enum QuorumState {
    /** All configured relays are reachable, and all of them reach each other. */
    COMPLETE("WHOLE"),
    /** More than half of the configured relays are reachable; two partitions are never both in this state. */
    MAJORITY("MOST"),
    /** Some other relays are reachable, but no more than half of all. */
    MINORITY("FEW"),
    /** No other relay is reachable, although others are configured. */
    ISOLATED("ALONE"),
    /**
     * The local view may be stale or incomplete: this member has just started, stalled or changed its state, or the
     * members differ in their views or their configured relays, or no relays are configured.
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
