package sandstack.measure.page;

/** The source of a cost model. */
public enum Origin {
    /** Points were measured by a run. */
    MEASURED,
    /** Points were computed by a run of a simulation or model. */
    MODELLED,
    /** The figure is derived by a formula, without a run. */
    RECKONED;

    /** Whether the model has points, command, date and commit. */
    boolean hasRun() {
        return this != RECKONED;
    }
}
