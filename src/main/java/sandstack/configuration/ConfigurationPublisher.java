package sandstack.configuration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import sandstack.configuration.ConfigurationMessage.ChunkRequest;
import sandstack.configuration.ConfigurationMessage.Deltas;
import sandstack.configuration.ConfigurationMessage.FollowerMessage;
import sandstack.configuration.ConfigurationMessage.Goodbye;
import sandstack.configuration.ConfigurationMessage.Heartbeat;
import sandstack.configuration.ConfigurationMessage.Hello;
import sandstack.configuration.ConfigurationMessage.RepairRequest;
import sandstack.configuration.ConfigurationMessage.SessionRejected;
import sandstack.configuration.ConfigurationMessage.SessionRejectionReason;
import sandstack.configuration.ConfigurationMessage.SnapshotOffer;
import sandstack.configuration.ConfigurationMessage.SnapshotRequest;
import sandstack.configuration.ConfigurationMessage.StatusReport;
import sandstack.configuration.ConfigurationMessage.Welcome;

/**
 * The control machine's side of the configuration distribution: sends the committed changes in order to every relay
 * with a session.
 *
 * <p><b>Bounded memory and load.</b> A session is a cursor into one shared list of recent changes and a few numbers;
 * nothing is queued per session. A relay that does not acknowledge is sent at most one window of changes. A relay that
 * lacks changes which are no longer in the list is offered a snapshot, which it requests in chunks. The number of
 * sessions, the rate of hellos, the message rate of each relay and the rate of snapshot bytes are limited.
 *
 * <p><b>Guaranteed:</b> only committed changes, and snapshots of committed configurations, are sent. <b>Not
 * guaranteed:</b> delivery; a relay requests lost changes and chunks again.
 *
 * <p>Not thread-safe. Times are in microseconds of a monotonic clock. A committed change and a tick cost O(sessions), a
 * message O(1) plus the cost of its reply.
 */
public final class ConfigurationPublisher implements CommittedChangeListener {
    /** The minimum interval between two repairs of one relay; requests within it are ignored. */
    private static final long MIN_REPAIR_INTERVAL_MICROS = 500_000;

    /**
     * The active versions of the relays that this machine serves, as they last reported them.
     *
     * @param head the latest committed state of this machine
     * @param relaysByVersion the number of relays for each active version
     * @param relaysRejecting the names of the relays that rejected a later version, with the reason
     * @param relaysWithDigestMismatch the names of the relays whose last report had the version that was current on
     *     this machine at that time, but another digest
     */
    public record Overview(
            ConfigurationHead head,
            Map<ConfigurationVersion, Integer> relaysByVersion,
            Map<String, ChangeRejection.Reason> relaysRejecting,
            List<String> relaysWithDigestMismatch) {}

    private final PublisherSettings settings;
    private final PublisherOutput output;
    private final Map<String, RelaySession> sessions = new LinkedHashMap<>();
    private final RecentChanges recentChanges;
    private final SessionAdmission admission;
    private final SnapshotChunkSource snapshotChunks;
    private final RateLimitedLog rejectionLog;
    private ConfigurationSnapshot current = ConfigurationSnapshot.EMPTY;
    private boolean quorumReached;

    /** Creates a publisher without sessions or quorum, at {@link ConfigurationVersion#NONE}. */
    public ConfigurationPublisher(
            PublisherSettings settings, ConfigurationCodec codec, PublisherOutput output, long nowMicros) {
        this.settings = settings;
        this.output = output;
        this.recentChanges = new RecentChanges(codec, settings.maxHistoryChanges(), settings.maxHistoryBytes());
        this.admission = new SessionAdmission(settings, nowMicros);
        this.snapshotChunks = new SnapshotChunkSource(settings, codec, recentChanges, nowMicros);
        this.rejectionLog = new RateLimitedLog(output::log);
    }

    /** Sets whether the consensus on this machine reaches a quorum; welcomes and heartbeats report it to the relays. */
    public void setQuorumReached(boolean reached) {
        quorumReached = reached;
    }

    @Override
    public void committed(CommittedChange change) {
        current = current.apply(change.version(), change.change());
        recentChanges.add(change);
        sessions.forEach(this::sendChanges);
    }

    @Override
    public void restored(ConfigurationSnapshot snapshot) {
        if (snapshot.version().index() <= current.version().index()) {
            return;
        }
        current = snapshot;
        recentChanges.clear();
        snapshotChunks.invalidate();
        sessions.forEach(this::sendChanges);
    }

    /**
     * Handles a message of a peer. A message that exceeds the peer's message rate closes its session. A message of an
     * unknown session is dropped and, within a rate limit, answered with a rejection.
     */
    public void received(String peer, FollowerMessage message, long nowMicros) {
        if (message instanceof Hello hello) {
            openSession(peer, hello, nowMicros);
            return;
        }
        RelaySession session = sessions.get(peer);
        if (session == null || session.id() != message.sessionId()) {
            rejectUnknownSession(peer, message, nowMicros);
            return;
        }
        Optional<SessionAdmission.Rejection> rejection = admission.checkMessage(session, nowMicros);
        if (rejection.isPresent()) {
            reject(peer, session.id(), rejection.get(), nowMicros);
        } else {
            session.messageReceived(nowMicros);
            handle(peer, session, message, nowMicros);
        }
    }

    /** Called when the connection to a peer is closed; ends its session. */
    public void disconnected(String peer) {
        sessions.remove(peer);
    }

    /**
     * Sends due heartbeats and closes the sessions of silent relays; to be called several times per heartbeat interval.
     */
    public void tick(long nowMicros) {
        List<String> silentPeers = new ArrayList<>();
        sessions.forEach((peer, session) -> {
            if (session.isSilent(nowMicros, settings.silenceTimeoutMicros())) {
                silentPeers.add(peer);
            } else if (session.tryHeartbeat(nowMicros, settings.heartbeatIntervalMicros())) {
                output.send(peer, new Heartbeat(session.id(), head()));
            }
        });
        silentPeers.forEach(this::closeSession);
    }

    /** The latest committed state of this machine, as it is reported to relays. */
    public ConfigurationHead head() {
        return new ConfigurationHead(current.version(), current.digest(), quorumReached);
    }

    /** The number of open sessions. */
    public int sessionCount() {
        return sessions.size();
    }

    /** Summarizes the last reports of all relays with a session; costs O(sessions). */
    public Overview overview() {
        Map<ConfigurationVersion, Integer> byVersion = new TreeMap<>();
        Map<String, ChangeRejection.Reason> rejecting = new TreeMap<>();
        List<String> withDigestMismatch = new ArrayList<>();
        for (RelaySession session : sessions.values()) {
            byVersion.merge(session.reportedVersion(), 1, Integer::sum);
            session.rejectionReason().ifPresent(reason -> rejecting.put(session.relayName(), reason));
            if (session.hasDigestMismatch()) {
                withDigestMismatch.add(session.relayName());
            }
        }
        return new Overview(head(), byVersion, rejecting, withDigestMismatch);
    }

    private void openSession(String peer, Hello hello, long nowMicros) {
        RelaySession previous = sessions.remove(peer);
        TokenBucket messageRate = previous == null ? admission.newMessageRate(nowMicros) : previous.messageRate();
        Optional<SessionAdmission.Rejection> rejection = admission.checkHello(messageRate, sessions.size(), nowMicros);
        if (rejection.isPresent()) {
            reject(peer, hello.sessionId(), rejection.get(), nowMicros);
            return;
        }
        RelaySession session = new RelaySession(
                hello,
                messageRate,
                nowMicros,
                nowMicros + settings.heartbeatIntervalMicros(),
                nowMicros - MIN_REPAIR_INTERVAL_MICROS);
        sessions.put(peer, session);
        output.send(peer, new Welcome(session.id(), head()));
        sendChanges(peer, session);
    }

    private void handle(String peer, RelaySession session, FollowerMessage message, long nowMicros) {
        if (message instanceof StatusReport report) {
            handleReport(peer, session, report);
        } else if (message instanceof RepairRequest request) {
            if (session.tryRepair(request.activeVersion(), nowMicros, MIN_REPAIR_INTERVAL_MICROS)) {
                sendChanges(peer, session);
            }
        } else if (message instanceof SnapshotRequest request) {
            snapshotChunks
                    .firstChunk(session.id(), current, request.minIndex(), nowMicros)
                    .ifPresent(chunk -> output.send(peer, chunk));
        } else if (message instanceof ChunkRequest request) {
            snapshotChunks
                    .chunk(session.id(), current, request, nowMicros)
                    .ifPresent(chunk -> output.send(peer, chunk));
        } else if (message instanceof Goodbye) {
            closeSession(peer);
        }
    }

    private void handleReport(String peer, RelaySession session, StatusReport report) {
        session.reportReceived(report, current);
        // a relay that rejected a version requests a later snapshot itself
        if (report.rejectionReason().isEmpty()) {
            sendChanges(peer, session);
        }
    }

    /**
     * Sends the next batch of changes if the window of changes in flight has headroom. If the next change is no longer
     * kept, offers a snapshot instead.
     */
    private void sendChanges(String peer, RelaySession session) {
        long headroom = settings.windowChanges() - session.changesInFlight();
        if (session.sentVersion().index() >= current.version().index() || headroom <= 0) {
            return;
        }
        Optional<List<CommittedChange>> changes =
                recentChanges.changesAfter(session.sentVersion(), (int) headroom, settings.maxBatchBytes());
        if (changes.isEmpty()) {
            offerSnapshot(peer, session);
        } else if (output.send(peer, new Deltas(session.id(), changes.get()))) {
            session.changesSent(changes.get().get(changes.get().size() - 1).version());
        }
    }

    private void offerSnapshot(String peer, RelaySession session) {
        if (!session.isSnapshotOffered()) {
            session.setSnapshotOffered(
                    output.send(peer, new SnapshotOffer(session.id(), current.version(), current.formatVersion())));
        }
    }

    private void rejectUnknownSession(String peer, FollowerMessage message, long nowMicros) {
        if (!(message instanceof Goodbye) && admission.tryAnswerUnknownSession(nowMicros)) {
            output.send(peer, new SessionRejected(message.sessionId(), SessionRejectionReason.UNKNOWN_SESSION));
        }
        if (!sessions.containsKey(peer)) {
            output.close(peer);
        }
    }

    private void reject(String peer, long sessionId, SessionAdmission.Rejection rejection, long nowMicros) {
        output.send(peer, new SessionRejected(sessionId, rejection.reason()));
        closeSession(peer);
        rejectionLog.log("relay rejected reason=" + rejection.reason() + " detail=" + rejection.detail(), nowMicros);
    }

    private void closeSession(String peer) {
        sessions.remove(peer);
        output.close(peer);
    }
}
