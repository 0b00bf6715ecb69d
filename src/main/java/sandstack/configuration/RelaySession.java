package sandstack.configuration;

import java.util.Optional;
import sandstack.configuration.ConfigurationMessage.Hello;
import sandstack.configuration.ConfigurationMessage.StatusReport;

/**
 * A publisher's state for one relay: a cursor into the shared history, the relay's last report, and the times of its
 * last message, its last repair and its next heartbeat. Nothing is queued here. Not thread-safe; times are in
 * microseconds of the publisher's clock.
 */
final class RelaySession {
    private final long id;
    private final String relayName;
    private final TokenBucket messageRate;
    /** The cursor: the version after which changes are to be sent. */
    private ConfigurationVersion sentVersion;

    private ConfigurationVersion reportedVersion;
    private boolean hasDigestMismatch;
    private Optional<ChangeRejection.Reason> rejectionReason = Optional.empty();
    private boolean snapshotOffered;
    private long lastMessageMicros;
    private long lastRepairMicros;
    private long nextHeartbeatMicros;

    /**
     * Creates a session whose cursor is at the relay's active version.
     *
     * @param messageRate the message rate limit of the peer; taken over from the session that this one replaces, if any
     * @param firstHeartbeatMicros the time at which the first heartbeat is due
     * @param lastRepairMicros the start of the interval in which no repair is allowed
     */
    RelaySession(
            Hello hello, TokenBucket messageRate, long nowMicros, long firstHeartbeatMicros, long lastRepairMicros) {
        this.id = hello.sessionId();
        this.relayName = LogText.singleLine(hello.relay());
        this.messageRate = messageRate;
        this.sentVersion = hello.activeVersion();
        this.reportedVersion = hello.activeVersion();
        this.lastMessageMicros = nowMicros;
        this.nextHeartbeatMicros = firstHeartbeatMicros;
        this.lastRepairMicros = lastRepairMicros;
    }

    long id() {
        return id;
    }

    /** The relay's name, sanitized for log lines. */
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

    /** Whether the last report had the version that was current on this machine at that time, but another digest. */
    boolean hasDigestMismatch() {
        return hasDigestMismatch;
    }

    /** Why the relay rejected a later version, according to its last report; empty if it did not. */
    Optional<ChangeRejection.Reason> rejectionReason() {
        return rejectionReason;
    }

    /** Restarts the silence timeout, because an admitted message arrived. */
    void messageReceived(long nowMicros) {
        lastMessageMicros = nowMicros;
    }

    boolean isSilent(long nowMicros, long timeoutMicros) {
        return nowMicros - lastMessageMicros > timeoutMicros;
    }

    /** Whether a heartbeat is due now; if so, the next one is due an interval later. */
    boolean tryHeartbeat(long nowMicros, long intervalMicros) {
        if (nowMicros < nextHeartbeatMicros) {
            return false;
        }
        nextHeartbeatMicros = nowMicros + intervalMicros;
        return true;
    }

    /**
     * Moves the cursor back to the relay's active version, at most once per interval.
     *
     * @return whether the cursor was moved, so that the changes after it are to be sent again
     */
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
     * Records the active version that the relay reported, and advances the cursor if the relay is ahead of it.
     *
     * @param current the latest committed configuration of this machine
     */
    void reportReceived(StatusReport report, ConfigurationSnapshot current) {
        reportedVersion = report.activeVersion();
        hasDigestMismatch = report.activeVersion().equals(current.version())
                && !report.digest().equals(current.digest());
        rejectionReason = report.rejectionReason();
        if (report.activeVersion().index() > sentVersion.index()) {
            sentVersion = report.activeVersion();
            snapshotOffered = false;
        }
    }

    /** The number of changes that were sent and not yet reported as active. */
    long changesInFlight() {
        return sentVersion.index() - reportedVersion.index();
    }

    void changesSent(ConfigurationVersion lastSent) {
        sentVersion = lastSent;
    }

    /** Whether a snapshot was offered since the cursor was last moved by a report or a repair. */
    boolean isSnapshotOffered() {
        return snapshotOffered;
    }

    void setSnapshotOffered(boolean offered) {
        snapshotOffered = offered;
    }
}
