package sandstack.measure.page;

/** Where a slope comes from. */
public enum Origin {
    /** A run gave the points. */
    MEASURED,
    /** A run worked the points out by a model; nothing real was measured. */
    MODELLED,
    /** Nothing was run; the figure follows from arithmetic. */
    RECKONED;

    /** Whether there are points, a command, a date and a commit. */
    boolean hasRun() {
        return this != RECKONED;
    }
}
