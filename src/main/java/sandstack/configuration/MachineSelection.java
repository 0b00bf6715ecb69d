package sandstack.configuration;

/** The rules by which a relay chooses between control machines. Without state; heads are what the machines reported. */
final class MachineSelection {
    private MachineSelection() {}

    /** Whether a relay may stay with a machine: it has a quorum and is not behind the active version of the relay. */
    static boolean isSatisfactory(ConfigurationHead head, ConfigurationVersion activeVersion) {
        return head.hasQuorum() && head.version().index() >= activeVersion.index();
    }

    /**
     * Whether a relay leaves the machine that it follows for one that welcomed it: a satisfactory machine only for a
     * satisfactory one that is preferred, any other also for one that is further ahead, where neither has a quorum.
     *
     * @param isPreferred whether the candidate comes before the current machine in the relay's order of preference
     */
    static boolean isBetter(
            ConfigurationHead candidate,
            boolean isPreferred,
            ControlConnection current,
            ConfigurationVersion activeVersion) {
        if (current.isSatisfactory()) {
            return isSatisfactory(candidate, activeVersion) && isPreferred;
        }
        return isSatisfactory(candidate, activeVersion)
                || (!current.head().hasQuorum()
                        && candidate.version().isAfter(current.head().version()));
    }
}
