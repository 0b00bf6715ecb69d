package sandstack.configuration;

import java.util.Optional;
import sandstack.configuration.ConfigurationMessage.Hello;
import sandstack.configuration.ConfigurationMessage.StatusReport;

/**
 * What a publisher knows of one relay that it serves: a cursor into the shared history, the relay's last report, and
 * the moments at which it was heard and served. Nothing is queued here. One thread; moments are microseconds of the
 * publisher's clock.
 */
final class RelaySession {
    private final long id;
    private final String relayName;
    private final TokenBucket messageRate;
    /** The last change that was sent, or what the relay reported where that is later. */
    private ConfigurationVersion sentVersion;

    private ConfigurationVersion reportedVersion;
    private boolean hasDigestMismatch;
    private Optional<ChangeRejection.Reason> rejectionReason = Optional.empty();
    private boolean snapshotOffered;
    private long lastHeardMicros;
    private long lastRepairMicros;
    private long nextHeartbeatMicros;

    /**
     * A session from the version on that the relay has.
     *
     * @param messageRate the messages that the peer may send, kept over its sessions
     * @param firstHeartbeatMicros when the first heartbeat is due
     * @param lastRepairMicros the moment from which the interval between two repairs counts
     */
    RelaySession(
            Hello hello, TokenBucket messageRate, long nowMicros, long firstHeartbeatMicros, long lastRepairMicros) {
        this.id = hello.sessionId();
        this.relayName = LogText.singleLine(hello.relay());
        this.messageRate = messageRate;
        this.sentVersion = hello.activeVersion();
        this.reportedVersion = hello.activeVersion();
        this.lastHeardMicros = nowMicros;
        this.nextHeartbeatMicros = firstHeartbeatMicros;
        this.lastRepairMicros = lastRepairMicros;
    }

    long id() {
        return id;
    }

    /** The relay's name, fit for a log line. */
    String relayName() {
        return relayName;
    }

    TokenBucket messageRate() {
        return messageRate;
    }

    ConfigurationVersion sentVersion() {
        return sentVersion;
    }

    ConfigurationVersion reportedVersion() {
        return reportedVersion;
    }

    /** Whether the relay last reported another state at the version that was current then. */
    boolean hasDigestMismatch() {
        return hasDigestMismatch;
    }

    /** Why the relay rejected a later version, as it last reported. */
    Optional<ChangeRejection.Reason> rejectionReason() {
        return rejectionReason;
    }

    /** The relay sent a message that was admitted. */
    void heard(long nowMicros) {
        lastHeardMicros = nowMicros;
    }

    boolean isSilent(long nowMicros, long timeoutMicros) {
        return nowMicros - lastHeardMicros > timeoutMicros;
    }

    /** Whether a heartbeat is due now; then the next one is due an interval later. */
    boolean tryHeartbeat(long nowMicros, long intervalMicros) {
        if (nowMicros < nextHeartbeatMicros) {
            return false;
        }
        nextHeartbeatMicros = nowMicros + intervalMicros;
        return true;
    }

    /** Moves the cursor back to what the relay has, no more often than the interval; whether it did. */
    boolean tryRepair(ConfigurationVersion activeVersion, long nowMicros, long intervalMicros) {
        if (nowMicros - lastRepairMicros < intervalMicros) {
            return false;
        }
        lastRepairMicros = nowMicros;
        sentVersion = activeVersion;
        reportedVersion = activeVersion;
        snapshotOffered = false;
        return true;
    }

    /**
     * The relay reported what is active there.
     *
     * @param current the latest state of this machine
     */
    void reported(StatusReport report, ConfigurationSnapshot current) {
        reportedVersion = report.activeVersion();
        hasDigestMismatch = report.activeVersion().equals(current.version())
                && !report.digest().equals(current.digest());
        rejectionReason = report.rejectionReason();
        if (report.activeVersion().index() > sentVersion.index()) {
            sentVersion = report.activeVersion();
            snapshotOffered = false;
        }
    }

    /** How many changes were sent and not yet reported as active. */
    long changesInFlight() {
        return sentVersion.index() - reportedVersion.index();
    }

    void changesSent(ConfigurationVersion lastSent) {
        sentVersion = lastSent;
    }

    /** Whether a snapshot was offered since the relay last moved on. */
    boolean isSnapshotOffered() {
        return snapshotOffered;
    }

    void setSnapshotOffered(boolean offered) {
        snapshotOffered = offered;
    }
}
