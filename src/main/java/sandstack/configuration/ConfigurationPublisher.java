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
 * A control machine's side of the distribution: sends the committed changes in order to every relay with a session.
 *
 * <p><b>Bounded.</b> A session is a cursor into one shared history and a few numbers; nothing is queued for it. A relay
 * that does not acknowledge gets no more than a window of changes; one that is behind the history gets a snapshot in
 * chunks that it requests. Sessions, hellos, messages of one relay and bytes of snapshots are limited.
 * <b>Guaranteed:</b> what is sent was committed. <b>Not guaranteed:</b> that it arrives; the relay requests it again.
 *
 * <p>Not thread-safe. Moments are microseconds of a monotonic clock. A committed change and a tick cost O(sessions), a
 * message O(1) beside what it sends.
 */
public final class ConfigurationPublisher implements CommittedChangeListener {
    /** Changes are repaired for one relay no more often than this. */
    private static final long MIN_REPAIR_INTERVAL_MICROS = 500_000;

    /**
     * What is active at the relays that this machine serves.
     *
     * @param relaysByVersion number of relays for each version
     * @param relaysRejecting names of relays that rejected a later version, with the reason
     * @param relaysWithDigestMismatch names of relays that hold another state at the version that is current here
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

    /** Begins before the first change, without a quorum. */
    public ConfigurationPublisher(
            PublisherSettings settings, ConfigurationCodec codec, PublisherOutput output, long nowMicros) {
        this.settings = settings;
        this.output = output;
        this.recentChanges = new RecentChanges(codec, settings.maxHistoryChanges(), settings.maxHistoryBytes());
        this.admission = new SessionAdmission(settings, nowMicros);
        this.snapshotChunks = new SnapshotChunkSource(settings, codec, recentChanges, nowMicros);
        this.rejectionLog = new RateLimitedLog(output::log);
    }

    /** Whether this machine is in touch with a quorum, according to the consensus; heartbeats carry it. */
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

    /** A message of a peer arrived; one that is not admitted closes its session. */
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
            session.heard(nowMicros);
            handle(peer, session, message, nowMicros);
        }
    }

    /** The connection to a peer is gone. */
    public void disconnected(String peer) {
        sessions.remove(peer);
    }

    /**
     * Sends the heartbeats that are due and closes the sessions of silent relays; to be called a few times a heartbeat.
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

    /** What this machine holds as the latest committed state. */
    public ConfigurationHead head() {
        return new ConfigurationHead(current.version(), current.digest(), quorumReached);
    }

    /** Relays that are served now. */
    public int sessionCount() {
        return sessions.size();
    }

    /** What is active at the relays that are served; O(sessions). */
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
        session.reported(report, current);
        if (report.rejectionReason().isEmpty()) {
            sendChanges(peer, session);
        }
    }

    /** Sends the next batch of changes, as far as the window of changes in flight has headroom. */
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
        if (!(message instanceof Goodbye) && admission.mayAnswerUnknownSession(nowMicros)) {
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
