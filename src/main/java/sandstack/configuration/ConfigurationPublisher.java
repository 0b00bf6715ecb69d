package sandstack.configuration;

import java.util.ArrayList;
import java.util.Arrays;
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
import sandstack.configuration.ConfigurationMessage.SnapshotChunk;
import sandstack.configuration.ConfigurationMessage.SnapshotOffer;
import sandstack.configuration.ConfigurationMessage.SnapshotRequest;
import sandstack.configuration.ConfigurationMessage.StatusReport;
import sandstack.configuration.ConfigurationMessage.Welcome;

/**
 * A control machine's side of the distribution: gives every relay with a session the agreed changes in order.
 *
 * <p><b>Bounded.</b> A session is a cursor into one shared history and a few numbers; nothing is queued for it. A relay
 * that does not report back gets no more than a window of changes; one that is behind the history gets a snapshot in
 * parts that it asks for. Sessions, hellos, messages of one relay and bytes of snapshots have bounds.
 * <b>Promised:</b> what is sent was agreed. <b>Not promised:</b> that it arrives; the relay asks again.
 *
 * <p>One thread. An agreed change and a turn cost O(sessions), a message O(1) beside what it sends.
 */
public final class ConfigurationPublisher implements CommittedChangeListener {
    private static final long LOG_INTERVAL_MICROS = 10_000_000;
    /** A snapshot is encoded no more often than this, in microseconds. */
    private static final long MIN_ENCODE_INTERVAL_MICROS = 500_000;
    /** What a relay lacks is sent again no more often than this, in microseconds. */
    private static final long MIN_REPAIR_INTERVAL_MICROS = 500_000;

    /** One relay that is served. */
    private static final class Session {
        final long id;
        final String relay;
        final TokenBucket messageRate;
        /** The last change that was sent, or what the relay said that it has. */
        ConfigurationVersion sentVersion;

        ConfigurationVersion reportedVersion;
        boolean hasDigestMismatch;
        Optional<ChangeRejection.Reason> rejectionReason = Optional.empty();
        long lastHeardMicros;
        long lastRepairMicros;
        long nextHeartbeatMicros;
        /** The relay has been offered a snapshot and has not said what became of it. */
        boolean snapshotOffered;

        Session(Hello hello, TokenBucket messageRate, long nowMicros) {
            this.id = hello.sessionId();
            this.relay = LogText.singleLine(hello.relay());
            this.messageRate = messageRate;
            this.sentVersion = hello.activeVersion();
            this.reportedVersion = hello.activeVersion();
            this.lastHeardMicros = nowMicros;
            this.lastRepairMicros = nowMicros - MIN_REPAIR_INTERVAL_MICROS;
        }
    }

    /** A snapshot as it is sent. */
    private record EncodedSnapshot(ConfigurationVersion version, int formatVersion, byte[] bytes) {}

    /**
     * What is in force at the relays that this machine serves.
     *
     * @param relaysByVersion number of relays for each version
     * @param relaysRejecting names of relays that refused a later version, with the reason
     * @param relaysWithDigestMismatch names of relays that hold another state at the version that is current here
     */
    public record Overview(
            ConfigurationHead head,
            Map<ConfigurationVersion, Integer> relaysByVersion,
            Map<String, ChangeRejection.Reason> relaysRejecting,
            List<String> relaysWithDigestMismatch) {}

    private final PublisherSettings settings;
    private final ConfigurationCodec codec;
    private final PublisherOutput output;
    private final Map<String, Session> sessions = new LinkedHashMap<>();
    private final RecentChanges recentChanges;
    private final TokenBucket helloRate;
    private final TokenBucket snapshotByteRate;
    private final RateLimitedLog rejectionLog;
    private ConfigurationSnapshot current = ConfigurationSnapshot.EMPTY;
    private boolean quorumReached;
    private EncodedSnapshot encodedSnapshot;
    private long encodedAtMicros;

    /** Begins before the first change, without a quorum. */
    public ConfigurationPublisher(
            PublisherSettings settings, ConfigurationCodec codec, PublisherOutput output, long nowMicros) {
        this.settings = settings;
        this.codec = codec;
        this.output = output;
        this.recentChanges = new RecentChanges(codec, settings.maxHistoryChanges(), settings.maxHistoryBytes());
        this.helloRate = new TokenBucket(settings.hellosPerSecond(), settings.hellosPerSecond(), nowMicros);
        this.snapshotByteRate =
                new TokenBucket(settings.snapshotBytesPerSecond(), settings.snapshotBytesPerSecond(), nowMicros);
        this.rejectionLog = new RateLimitedLog(output::log, LOG_INTERVAL_MICROS);
    }

    /** Whether this machine is in touch with a quorum, as the consensus says. */
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
        encodedSnapshot = null;
        sessions.forEach(this::sendChanges);
    }

    /** A peer said something. */
    public void received(String peer, FollowerMessage message, long nowMicros) {
        if (message instanceof Hello hello) {
            openSession(peer, hello, nowMicros);
            return;
        }
        Session session = sessions.get(peer);
        if (session == null || session.id != message.sessionId()) {
            rejectUnknown(peer, message, nowMicros);
        } else if (!session.messageRate.tryTake(1, nowMicros)) {
            reject(peer, session.id, SessionRejectionReason.FLOOD, session.relay + " sends too much", nowMicros);
        } else {
            session.lastHeardMicros = nowMicros;
            handle(peer, session, message, nowMicros);
        }
    }

    /** The connection to a peer is gone. */
    public void disconnected(String peer) {
        sessions.remove(peer);
    }

    /** Sends the heartbeats that are due and gives up relays that say nothing; a few times a heartbeat. */
    public void tick(long nowMicros) {
        List<String> silent = new ArrayList<>();
        sessions.forEach((peer, session) -> {
            if (nowMicros - session.lastHeardMicros > settings.silenceTimeoutMicros()) {
                silent.add(peer);
            } else if (nowMicros >= session.nextHeartbeatMicros) {
                session.nextHeartbeatMicros = nowMicros + settings.heartbeatIntervalMicros();
                output.send(peer, new Heartbeat(session.id, head()));
            }
        });
        silent.forEach(this::closeSession);
    }

    /** What this machine holds as the latest agreed state. */
    public ConfigurationHead head() {
        return new ConfigurationHead(current.version(), current.digest(), quorumReached);
    }

    /** Relays that are served now. */
    public int sessionCount() {
        return sessions.size();
    }

    /** What is in force at the relays that are served; O(sessions). */
    public Overview overview() {
        Map<ConfigurationVersion, Integer> byVersion = new TreeMap<>();
        Map<String, ChangeRejection.Reason> rejecting = new TreeMap<>();
        List<String> withDigestMismatch = new ArrayList<>();
        for (Session session : sessions.values()) {
            byVersion.merge(session.reportedVersion, 1, Integer::sum);
            session.rejectionReason.ifPresent(reason -> rejecting.put(session.relay, reason));
            if (session.hasDigestMismatch) {
                withDigestMismatch.add(session.relay);
            }
        }
        return new Overview(head(), byVersion, rejecting, withDigestMismatch);
    }

    private void openSession(String peer, Hello hello, long nowMicros) {
        Session before = sessions.remove(peer);
        TokenBucket messages = before != null
                ? before.messageRate
                : new TokenBucket(settings.messagesPerSecond(), settings.messageBurst(), nowMicros);
        if (!messages.tryTake(1, nowMicros)) {
            reject(peer, hello.sessionId(), SessionRejectionReason.FLOOD, "one says hello too often", nowMicros);
        } else if (!helloRate.tryTake(1, nowMicros)) {
            reject(peer, hello.sessionId(), SessionRejectionReason.BUSY, "more come at once than are taken", nowMicros);
        } else if (sessions.size() >= settings.maxSessions()) {
            reject(
                    peer,
                    hello.sessionId(),
                    SessionRejectionReason.FULL,
                    sessions.size() + " are served, the most",
                    nowMicros);
        } else {
            Session session = new Session(hello, messages, nowMicros);
            session.nextHeartbeatMicros = nowMicros + settings.heartbeatIntervalMicros();
            sessions.put(peer, session);
            output.send(peer, new Welcome(session.id, head()));
            sendChanges(peer, session);
        }
    }

    private void handle(String peer, Session session, FollowerMessage message, long nowMicros) {
        if (message instanceof StatusReport report) {
            handleReport(peer, session, report);
        } else if (message instanceof RepairRequest request) {
            handleRepairRequest(peer, session, request, nowMicros);
        } else if (message instanceof SnapshotRequest request) {
            handleSnapshotRequest(peer, session, request.minIndex(), nowMicros);
        } else if (message instanceof ChunkRequest request) {
            handleChunkRequest(peer, session, request, nowMicros);
        } else if (message instanceof Goodbye) {
            closeSession(peer);
        }
    }

    private void handleRepairRequest(String peer, Session session, RepairRequest request, long nowMicros) {
        if (nowMicros - session.lastRepairMicros < MIN_REPAIR_INTERVAL_MICROS) {
            return;
        }
        session.lastRepairMicros = nowMicros;
        session.sentVersion = request.activeVersion();
        session.reportedVersion = request.activeVersion();
        session.snapshotOffered = false;
        sendChanges(peer, session);
    }

    private void handleReport(String peer, Session session, StatusReport report) {
        session.reportedVersion = report.activeVersion();
        session.hasDigestMismatch = report.activeVersion().equals(current.version())
                && !report.digest().equals(current.digest());
        session.rejectionReason = report.rejectionReason();
        if (report.activeVersion().index() > session.sentVersion.index()) {
            session.sentVersion = report.activeVersion();
            session.snapshotOffered = false;
        }
        if (report.rejectionReason().isEmpty()) {
            sendChanges(peer, session);
        }
    }

    /** Sends the next batch of what the relay lacks, as far as it has taken what was sent before. */
    private void sendChanges(String peer, Session session) {
        long inFlight = session.sentVersion.index() - session.reportedVersion.index();
        if (session.sentVersion.index() >= current.version().index() || inFlight >= settings.windowChanges()) {
            return;
        }
        int headroom = (int) (settings.windowChanges() - inFlight);
        Optional<List<CommittedChange>> changes =
                recentChanges.changesAfter(session.sentVersion, headroom, settings.maxBatchBytes());
        if (changes.isEmpty()) {
            offerSnapshot(peer, session);
        } else if (output.send(peer, new Deltas(session.id, changes.get()))) {
            session.sentVersion = changes.get().get(changes.get().size() - 1).version();
        }
    }

    private void offerSnapshot(String peer, Session session) {
        if (!session.snapshotOffered) {
            session.snapshotOffered =
                    output.send(peer, new SnapshotOffer(session.id, current.version(), current.formatVersion()));
        }
    }

    private void handleSnapshotRequest(String peer, Session session, long minIndex, long nowMicros) {
        if (current.version().index() < minIndex) {
            return;
        }
        refreshEncoded(minIndex, nowMicros);
        if (encodedSnapshot != null && encodedSnapshot.version().index() >= minIndex) {
            sendChunkAt(peer, session, 0, nowMicros);
        }
    }

    private void handleChunkRequest(String peer, Session session, ChunkRequest request, long nowMicros) {
        if (encodedSnapshot == null || !encodedSnapshot.version().equals(request.version())) {
            handleSnapshotRequest(peer, session, request.version().index(), nowMicros);
        } else if (request.offset() >= 0 && request.offset() < encodedSnapshot.bytes().length) {
            sendChunkAt(peer, session, request.offset(), nowMicros);
        }
    }

    /** Keeps one encoded snapshot as long as the history goes on from it, so that a slow relay finds the next part. */
    private void refreshEncoded(long minIndex, long nowMicros) {
        if (encodedSnapshot != null) {
            boolean current = encodedSnapshot.version().equals(this.current.version());
            boolean young =
                    this.current.version().index() - encodedSnapshot.version().index()
                                    < settings.maxSnapshotLagChanges()
                            && recentChanges.continuesFrom(encodedSnapshot.version());
            boolean late = encodedSnapshot.version().index() >= minIndex;
            if (current || young && late || nowMicros - encodedAtMicros < MIN_ENCODE_INTERVAL_MICROS) {
                return;
            }
        }
        encodedSnapshot = new EncodedSnapshot(current.version(), current.formatVersion(), codec.encode(current));
        encodedAtMicros = nowMicros;
    }

    private void sendChunkAt(String peer, Session session, int offset, long nowMicros) {
        int length = Math.min(settings.maxChunkBytes(), encodedSnapshot.bytes().length - offset);
        if (!snapshotByteRate.tryTake(length, nowMicros)) {
            return;
        }
        byte[] part = Arrays.copyOfRange(encodedSnapshot.bytes(), offset, offset + length);
        output.send(
                peer,
                new SnapshotChunk(
                        session.id,
                        encodedSnapshot.version(),
                        encodedSnapshot.formatVersion(),
                        encodedSnapshot.bytes().length,
                        offset,
                        part));
    }

    private void rejectUnknown(String peer, FollowerMessage message, long nowMicros) {
        if (!(message instanceof Goodbye) && helloRate.tryTake(1, nowMicros)) {
            output.send(peer, new SessionRejected(message.sessionId(), SessionRejectionReason.UNKNOWN_SESSION));
        }
        if (!sessions.containsKey(peer)) {
            output.close(peer);
        }
    }

    private void reject(String peer, long session, SessionRejectionReason reason, String detail, long nowMicros) {
        output.send(peer, new SessionRejected(session, reason));
        closeSession(peer);
        rejectionLog.log("a relay is turned away: " + detail, nowMicros);
    }

    private void closeSession(String peer) {
        sessions.remove(peer);
        output.close(peer);
    }
}
