package sandstack.configuration;

/**
 * A relay's view of its connection to one control machine, from the sending of the hello. Whether the machine is
 * satisfactory is defined by {@link MachineSelection#isSatisfactory}. Not thread-safe; times are in microseconds of the
 * relay's clock.
 */
final class ControlConnection {
    private final String machine;
    private final long sessionId;
    /** The last head that the machine reported; null before its welcome. */
    private ConfigurationHead head;

    /** Whether the last reported head was satisfactory; true before the first one. */
    private boolean isSatisfactory = true;
    /** The time at which the machine became unsatisfactory; undefined while it is satisfactory. */
    private long unsatisfactorySinceMicros;

    private long silentSinceMicros;
    private long openedMicros;

    ControlConnection(String machine, long sessionId, long nowMicros) {
        this.machine = machine;
        this.sessionId = sessionId;
        this.silentSinceMicros = nowMicros;
        this.openedMicros = nowMicros;
    }

    String machine() {
        return machine;
    }

    long sessionId() {
        return sessionId;
    }

    /** The latest committed state that the machine reported; null before its welcome. */
    ConfigurationHead head() {
        return head;
    }

    boolean matches(String otherMachine, long otherSessionId) {
        return sessionId == otherSessionId && machine.equals(otherMachine);
    }

    /** Restarts the silence timeout, because a message arrived or this process was paused. */
    void restartSilenceTimeout(long nowMicros) {
        silentSinceMicros = nowMicros;
    }

    /** Records that the relay follows this machine from now on. */
    void opened(long nowMicros) {
        openedMicros = nowMicros;
    }

    /**
     * Records the latest committed state of the machine.
     *
     * @return whether this report made the machine unsatisfactory
     */
    boolean headReceived(ConfigurationHead received, ConfigurationVersion activeVersion, long nowMicros) {
        head = received;
        boolean wasSatisfactory = isSatisfactory;
        isSatisfactory = MachineSelection.isSatisfactory(received, activeVersion);
        if (wasSatisfactory && !isSatisfactory) {
            unsatisfactorySinceMicros = nowMicros;
            return true;
        }
        return false;
    }

    boolean isSatisfactory() {
        return isSatisfactory;
    }

    boolean isUnsatisfactoryFor(long durationMicros, long nowMicros) {
        return !isSatisfactory && nowMicros - unsatisfactorySinceMicros >= durationMicros;
    }

    boolean isSilentFor(long durationMicros, long nowMicros) {
        return nowMicros - silentSinceMicros >= durationMicros;
    }

    /** Whether the machine is satisfactory and the relay has followed it for at least the duration. */
    boolean isStableFor(long durationMicros, long nowMicros) {
        return isSatisfactory && nowMicros - openedMicros >= durationMicros;
    }
}
