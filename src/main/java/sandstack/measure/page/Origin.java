package sandstack.measure.page;

/** How the figure of a cost model was obtained. Constants are stored by name in the cost model file. */
public enum Origin {
    /** Fitted to points that a run measured. */
    MEASURED,
    /** Fitted to points that a run computed by a simulation or model. */
    MODELLED,
    /** Derived by a formula, without a run. */
    RECKONED;

    /** Whether the cost model has points, command, date and commit. */
    boolean hasRun() {
        return this != RECKONED;
    }
}
