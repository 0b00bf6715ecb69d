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
import sandstack.configuration.ConfigurationMessage.FromFollower;
import sandstack.configuration.ConfigurationMessage.Goodbye;
import sandstack.configuration.ConfigurationMessage.Heartbeat;
import sandstack.configuration.ConfigurationMessage.Hello;
import sandstack.configuration.ConfigurationMessage.Rejected;
import sandstack.configuration.ConfigurationMessage.RejectionReason;
import sandstack.configuration.ConfigurationMessage.RepairRequest;
import sandstack.configuration.ConfigurationMessage.Report;
import sandstack.configuration.ConfigurationMessage.SnapshotChunk;
import sandstack.configuration.ConfigurationMessage.SnapshotOffer;
import sandstack.configuration.ConfigurationMessage.SnapshotRequest;
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
public final class ConfigurationPublisher implements AgreedChangeListener {
    private static final long LINE_INTERVAL = 10_000_000;
    /** A snapshot is encoded no more often than this, in microseconds. */
    private static final long ENCODE_INTERVAL = 500_000;
    /** What a relay lacks is sent again no more often than this, in microseconds. */
    private static final long REPAIR_INTERVAL = 500_000;

    /** One relay that is served. */
    private static final class Session {
        final long id;
        final String relay;
        final TokenBucket messages;
        /** The last change that was sent, or what the relay said that it has. */
        ConfigurationVersion sent;

        ConfigurationVersion reported;
        boolean differs;
        Optional<ChangeRefusal.Reason> refused = Optional.empty();
        long heardAt;
        long repairedAt;
        long heartbeatAt;
        /** The relay has been offered a snapshot and has not said what became of it. */
        boolean offered;

        Session(Hello hello, TokenBucket messages, long now) {
            this.id = hello.session();
            this.relay = OneLine.of(hello.relay());
            this.messages = messages;
            this.sent = hello.inForce();
            this.reported = hello.inForce();
            this.heardAt = now;
            this.repairedAt = now - REPAIR_INTERVAL;
        }
    }

    /** A snapshot as it is sent. */
    private record EncodedSnapshot(ConfigurationVersion version, int formatVersion, byte[] bytes) {}

    /**
     * What is in force at the relays that this machine serves.
     *
     * @param relaysByVersion number of relays for each version
     * @param relaysRefusing names of relays that refused a later version, with the reason
     * @param relaysDiffering names of relays that hold another state at the version that is current here
     */
    public record Overview(
            ConfigurationHead head,
            Map<ConfigurationVersion, Integer> relaysByVersion,
            Map<String, ChangeRefusal.Reason> relaysRefusing,
            List<String> relaysDiffering) {}

    private final PublisherSettings settings;
    private final ConfigurationCodec codec;
    private final PublisherOutput output;
    private final Map<String, Session> sessions = new LinkedHashMap<>();
    private final RecentChanges recent;
    private final TokenBucket hellos;
    private final TokenBucket snapshotBytes;
    private final LineLimiter refusalLines;
    private ConfigurationSnapshot current = ConfigurationSnapshot.EMPTY;
    private boolean quorum;
    private EncodedSnapshot encoded;
    private long encodedAt;

    /** Begins before the first change, without a quorum. */
    public ConfigurationPublisher(
            PublisherSettings settings, ConfigurationCodec codec, PublisherOutput output, long now) {
        this.settings = settings;
        this.codec = codec;
        this.output = output;
        this.recent = new RecentChanges(codec, settings.historyChanges(), settings.historyBytes());
        this.hellos = new TokenBucket(settings.hellosPerSecond(), settings.hellosPerSecond(), now);
        this.snapshotBytes = new TokenBucket(settings.snapshotBytesPerSecond(), settings.snapshotBytesPerSecond(), now);
        this.refusalLines = new LineLimiter(output::line, LINE_INTERVAL);
    }

    /** Whether this machine is in touch with a quorum, as the consensus says. */
    public void quorum(boolean reached) {
        quorum = reached;
    }

    @Override
    public void agreed(AgreedChange change) {
        current = current.apply(change.version(), change.change());
        recent.add(change);
        sessions.forEach(this::push);
    }

    @Override
    public void restored(ConfigurationSnapshot snapshot) {
        if (snapshot.version().index() <= current.version().index()) {
            return;
        }
        current = snapshot;
        recent.clear();
        encoded = null;
        sessions.forEach(this::push);
    }

    /** A peer said something. */
    public void received(String peer, FromFollower message, long now) {
        if (message instanceof Hello hello) {
            welcome(peer, hello, now);
            return;
        }
        Session session = sessions.get(peer);
        if (session == null || session.id != message.session()) {
            rejectUnknown(peer, message, now);
        } else if (!session.messages.take(1, now)) {
            reject(peer, session.id, RejectionReason.FLOOD, session.relay + " sends too much", now);
        } else {
            session.heardAt = now;
            handle(peer, session, message, now);
        }
    }

    /** The connection to a peer is gone. */
    public void disconnected(String peer) {
        sessions.remove(peer);
    }

    /** Sends the heartbeats that are due and gives up relays that say nothing; a few times a heartbeat. */
    public void turn(long now) {
        List<String> silent = new ArrayList<>();
        sessions.forEach((peer, session) -> {
            if (now - session.heardAt > settings.silence()) {
                silent.add(peer);
            } else if (now >= session.heartbeatAt) {
                session.heartbeatAt = now + settings.heartbeat();
                output.send(peer, new Heartbeat(session.id, head()));
            }
        });
        silent.forEach(this::end);
    }

    /** What this machine holds as the latest agreed state. */
    public ConfigurationHead head() {
        return new ConfigurationHead(current.version(), current.digest(), quorum);
    }

    /** Relays that are served now. */
    public int sessions() {
        return sessions.size();
    }

    /** What is in force at the relays that are served; O(sessions). */
    public Overview overview() {
        Map<ConfigurationVersion, Integer> byVersion = new TreeMap<>();
        Map<String, ChangeRefusal.Reason> refusing = new TreeMap<>();
        List<String> differing = new ArrayList<>();
        for (Session session : sessions.values()) {
            byVersion.merge(session.reported, 1, Integer::sum);
            session.refused.ifPresent(reason -> refusing.put(session.relay, reason));
            if (session.differs) {
                differing.add(session.relay);
            }
        }
        return new Overview(head(), byVersion, refusing, differing);
    }

    private void welcome(String peer, Hello hello, long now) {
        Session before = sessions.remove(peer);
        TokenBucket messages = before != null
                ? before.messages
                : new TokenBucket(settings.messagesPerSecond(), settings.messageBurst(), now);
        if (!messages.take(1, now)) {
            reject(peer, hello.session(), RejectionReason.FLOOD, "one says hello too often", now);
        } else if (!hellos.take(1, now)) {
            reject(peer, hello.session(), RejectionReason.BUSY, "more come at once than are taken", now);
        } else if (sessions.size() >= settings.mostSessions()) {
            reject(peer, hello.session(), RejectionReason.FULL, sessions.size() + " are served, the most", now);
        } else {
            Session session = new Session(hello, messages, now);
            session.heartbeatAt = now + settings.heartbeat();
            sessions.put(peer, session);
            output.send(peer, new Welcome(session.id, head()));
            push(peer, session);
        }
    }

    private void handle(String peer, Session session, FromFollower message, long now) {
        if (message instanceof Report report) {
            handleReport(peer, session, report);
        } else if (message instanceof RepairRequest request) {
            repair(peer, session, request, now);
        } else if (message instanceof SnapshotRequest request) {
            sendSnapshot(peer, session, request.leastIndex(), now);
        } else if (message instanceof ChunkRequest request) {
            sendChunk(peer, session, request, now);
        } else if (message instanceof Goodbye) {
            end(peer);
        }
    }

    private void repair(String peer, Session session, RepairRequest request, long now) {
        if (now - session.repairedAt < REPAIR_INTERVAL) {
            return;
        }
        session.repairedAt = now;
        session.sent = request.inForce();
        session.reported = request.inForce();
        session.offered = false;
        push(peer, session);
    }

    private void handleReport(String peer, Session session, Report report) {
        session.reported = report.inForce();
        session.differs =
                report.inForce().equals(current.version()) && !report.digest().equals(current.digest());
        session.refused = report.refused();
        if (report.inForce().index() > session.sent.index()) {
            session.sent = report.inForce();
            session.offered = false;
        }
        if (report.refused().isEmpty()) {
            push(peer, session);
        }
    }

    /** Sends the next batch of what the relay lacks, as far as it has taken what was sent before. */
    private void push(String peer, Session session) {
        long underWay = session.sent.index() - session.reported.index();
        if (session.sent.index() >= current.version().index() || underWay >= settings.window()) {
            return;
        }
        int room = (int) (settings.window() - underWay);
        Optional<List<AgreedChange>> changes = recent.after(session.sent, room, settings.batchBytes());
        if (changes.isEmpty()) {
            offerSnapshot(peer, session);
        } else if (output.send(peer, new Deltas(session.id, changes.get()))) {
            session.sent = changes.get().get(changes.get().size() - 1).version();
        }
    }

    private void offerSnapshot(String peer, Session session) {
        if (!session.offered) {
            session.offered =
                    output.send(peer, new SnapshotOffer(session.id, current.version(), current.formatVersion()));
        }
    }

    private void sendSnapshot(String peer, Session session, long leastIndex, long now) {
        if (current.version().index() < leastIndex) {
            return;
        }
        refreshEncoded(leastIndex, now);
        if (encoded != null && encoded.version().index() >= leastIndex) {
            sendPart(peer, session, 0, now);
        }
    }

    private void sendChunk(String peer, Session session, ChunkRequest request, long now) {
        if (encoded == null || !encoded.version().equals(request.version())) {
            sendSnapshot(peer, session, request.version().index(), now);
        } else if (request.offset() >= 0 && request.offset() < encoded.bytes().length) {
            sendPart(peer, session, request.offset(), now);
        }
    }

    /** Keeps one encoded snapshot as long as the history goes on from it, so that a slow relay finds the next part. */
    private void refreshEncoded(long leastIndex, long now) {
        if (encoded != null) {
            boolean current = encoded.version().equals(this.current.version());
            boolean young = this.current.version().index() - encoded.version().index() < settings.snapshotAge()
                    && recent.goesOnFrom(encoded.version());
            boolean late = encoded.version().index() >= leastIndex;
            if (current || young && late || now - encodedAt < ENCODE_INTERVAL) {
                return;
            }
        }
        encoded = new EncodedSnapshot(current.version(), current.formatVersion(), codec.encode(current));
        encodedAt = now;
    }

    private void sendPart(String peer, Session session, int offset, long now) {
        int length = Math.min(settings.chunkBytes(), encoded.bytes().length - offset);
        if (!snapshotBytes.take(length, now)) {
            return;
        }
        byte[] part = Arrays.copyOfRange(encoded.bytes(), offset, offset + length);
        output.send(
                peer,
                new SnapshotChunk(
                        session.id, encoded.version(), encoded.formatVersion(), encoded.bytes().length, offset, part));
    }

    private void rejectUnknown(String peer, FromFollower message, long now) {
        if (!(message instanceof Goodbye) && hellos.take(1, now)) {
            output.send(peer, new Rejected(message.session(), RejectionReason.UNKNOWN_SESSION));
        }
        if (!sessions.containsKey(peer)) {
            output.close(peer);
        }
    }

    private void reject(String peer, long session, RejectionReason reason, String why, long now) {
        output.send(peer, new Rejected(session, reason));
        end(peer);
        refusalLines.line("a relay is turned away: " + why, now);
    }

    private void end(String peer) {
        sessions.remove(peer);
        output.close(peer);
    }
}
