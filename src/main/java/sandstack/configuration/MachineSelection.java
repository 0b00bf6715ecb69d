package sandstack.configuration;

/**
 * The rules by which a relay chooses between control machines, from the {@link ConfigurationHead}s that they report.
 */
final class MachineSelection {
    private MachineSelection() {}

    /** Whether a machine has a quorum and is not behind the active version of the relay. */
    static boolean isSatisfactory(ConfigurationHead head, ConfigurationVersion activeVersion) {
        return head.hasQuorum() && head.version().index() >= activeVersion.index();
    }

    /**
     * Whether a relay switches from its current machine to a candidate that welcomed it. It leaves a satisfactory
     * machine only for a satisfactory candidate that it prefers. It leaves an unsatisfactory one for any satisfactory
     * candidate, and, if the current machine has no quorum, also for a candidate with a later version.
     *
     * @param isPreferred whether the candidate precedes the current machine in the relay's order of preference
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
