package sandstack.faultinjection;

/** The properties that must hold in every run, for any fault schedule. */
enum Invariant {
    FLEET_STARTS_COMPLETE("a fleet that starts without faults becomes complete"),
    MAJORITY_IS_MORE_THAN_HALF("a majority is more than half of the configured relays"),
    UNKNOWN_AFTER_PAUSE("the quorum state of a resumed member is unknown at first"),
    REACHABLE_IS_NOT_LOST("a reachable member is not lost"),
    DEAD_IS_NO_MEMBER("a process that has ended is not a member"),
    RUNNING_HAS_NOT_LEFT("a running member has not left"),
    LEFT_IS_FINAL("an incarnation that left stays left"),
    MEMBERS_RESPOND("every running member responds"),
    ONE_INCARNATION_PER_NAME("a name has one present incarnation"),
    VIEWS_CONVERGE("views are complete after all faults have ended");

    private final String description;

    Invariant(String description) {
        this.description = description;
    }

    /** The property in words, for the output of {@code faults}. */
    String description() {
        return description;
    }
}
