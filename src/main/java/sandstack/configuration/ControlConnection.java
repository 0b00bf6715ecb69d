package sandstack.configuration;

/**
 * What a relay knows of its connection with one control machine, from the hello on. Not thread-safe; moments are
 * microseconds of the relay's clock.
 */
final class ControlConnection {
    private final String machine;
    private final long sessionId;
    /** Null until the machine welcomed this relay. */
    private ConfigurationHead head;

    private boolean isSatisfactory = true;
    /** Since when the machine lacks a quorum or is behind; meaningless while it is satisfactory. */
    private long unsatisfactorySinceMicros;

    private long lastHeardMicros;
    private long openedMicros;

    ControlConnection(String machine, long sessionId, long nowMicros) {
        this.machine = machine;
        this.sessionId = sessionId;
        this.lastHeardMicros = nowMicros;
        this.openedMicros = nowMicros;
    }

    String machine() {
        return machine;
    }

    long sessionId() {
        return sessionId;
    }

    /** What the machine last reported that it holds; null until it welcomed this relay. */
    ConfigurationHead head() {
        return head;
    }

    boolean matches(String otherMachine, long otherSessionId) {
        return sessionId == otherSessionId && machine.equals(otherMachine);
    }

    /** Something of the machine arrived, or its silence is not to be counted. */
    void heard(long nowMicros) {
        lastHeardMicros = nowMicros;
    }

    /** The machine is followed from now on. */
    void opened(long nowMicros) {
        openedMicros = nowMicros;
    }

    /**
     * The machine reported what it holds.
     *
     * @return whether it has just become unsatisfactory
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
        return nowMicros - lastHeardMicros >= durationMicros;
    }

    /** Whether the machine is satisfactory and has been followed for so long. */
    boolean isStableFor(long durationMicros, long nowMicros) {
        return isSatisfactory && nowMicros - openedMicros >= durationMicros;
    }
}
