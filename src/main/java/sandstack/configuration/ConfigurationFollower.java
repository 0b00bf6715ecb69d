package sandstack.configuration;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import sandstack.configuration.ActiveConfiguration.ActivationResult;
import sandstack.configuration.ConfigurationMessage.ChunkRequest;
import sandstack.configuration.ConfigurationMessage.Deltas;
import sandstack.configuration.ConfigurationMessage.Heartbeat;
import sandstack.configuration.ConfigurationMessage.PublisherMessage;
import sandstack.configuration.ConfigurationMessage.RepairRequest;
import sandstack.configuration.ConfigurationMessage.SessionRejected;
import sandstack.configuration.ConfigurationMessage.SnapshotChunk;
import sandstack.configuration.ConfigurationMessage.SnapshotOffer;
import sandstack.configuration.ConfigurationMessage.SnapshotRequest;
import sandstack.configuration.ConfigurationMessage.StatusReport;
import sandstack.configuration.ConfigurationMessage.Welcome;

/**
 * The relay's side of the configuration distribution: follows one control machine and activates the changes that are
 * committed there.
 *
 * <p><b>Failure model.</b> Relays and control machines crash and restart with their disk, with an empty disk or with an
 * older copy of it, and pause for any time. Links lose, delay, reorder and duplicate messages, and can be cut in one
 * direction or both. Byzantine faults are out of scope: members do not send false data.
 *
 * <p><b>Guaranteed:</b> every activated configuration was committed. A later version is never replaced by an earlier
 * one within one incarnation, nor over a restart if the disk has stored all activated versions. The active
 * configuration stays while no control machine is reachable. <b>Not guaranteed:</b> that all relays have the same
 * version at the same time, or that a relay with an older or empty disk restarts from its last version.
 *
 * <p>Not thread-safe; called on one thread, which serves no client connections. Times are in microseconds of a
 * monotonic clock. A message costs O(1) plus the cost of the changes or snapshot in it; a tick costs O(1).
 */
public final class ConfigurationFollower {
    private static final long NOT_LAGGING = -1;

    /**
     * The active configuration of this relay and its session, for operators and metrics.
     *
     * @param machine the control machine that this relay follows; empty if there is no session
     * @param head the latest committed state that this machine reported; empty if there is no session
     * @param rejection why a later version is not active here; empty if none was rejected since the last activation
     */
    public record Status(
            ConfigurationVersion activeVersion,
            ConfigurationDigest digest,
            Optional<String> machine,
            Optional<ConfigurationHead> head,
            Optional<ChangeRejection> rejection) {}

    private final FollowerSettings settings;
    private final ActiveConfiguration activeConfiguration;
    private final ControlSession session;
    private final FetchSchedule fetchSchedule;
    private final SnapshotFetcher snapshots;
    private final RateLimitedLog divergenceLog;
    /**
     * The active index at the last heartbeat or welcome, if that reported a later index; otherwise
     * {@link #NOT_LAGGING}. If the active index is still the same at the next heartbeat, the missing changes are taken
     * to be lost rather than in flight.
     */
    private long laggingIndex = NOT_LAGGING;

    /**
     * Loads the stored configuration, and activates it if it is valid.
     *
     * @param machines all control machines, at least one
     * @param random the source of backoff delays, failback times and session ids
     */
    public ConfigurationFollower(
            FollowerSettings settings,
            RelayIdentity relay,
            List<ControlMachine> machines,
            ChangeValidator validator,
            ConfigurationStore store,
            FollowerOutput output,
            RandomGenerator random,
            long nowMicros) {
        if (machines.isEmpty()) {
            throw new IllegalArgumentException(
                    "machines is empty: a relay needs at least one control machine to follow");
        }
        this.settings = settings;
        this.activeConfiguration = new ActiveConfiguration(validator, store, output);
        this.divergenceLog = new RateLimitedLog(output::log);
        this.snapshots = new SnapshotFetcher(new ConfigurationCodec(validator.limits()), activeConfiguration);
        this.fetchSchedule = new FetchSchedule(settings, nowMicros);
        List<ControlMachine> preferenceOrder = ControlMachine.inPreferenceOrder(relay, machines);
        this.session = new ControlSession(settings, relay.name(), preferenceOrder, output, random, nowMicros);
        activeConfiguration.load();
    }

    /** The active configuration; {@link ConfigurationSnapshot#EMPTY} before the first activation. */
    public ConfigurationSnapshot activeSnapshot() {
        return activeConfiguration.current();
    }

    /** The active version, the control machine that this relay follows, and the last rejection. */
    public Status status() {
        return new Status(
                activeConfiguration.version(),
                activeConfiguration.current().digest(),
                session.machine(),
                session.head(),
                activeConfiguration.rejection());
    }

    /** Handles a message of a control machine; ignores it if it is not of the current session or attempt. */
    public void received(String machine, PublisherMessage message, long nowMicros) {
        if (session.isCurrentAttempt(machine, message.sessionId())) {
            handleAttemptReply(message, nowMicros);
        } else if (session.isCurrentSession(machine, message.sessionId())) {
            session.messageReceived(nowMicros);
            handle(message, nowMicros);
        }
    }

    /** Called when the connection to a control machine is closed or could not be established. */
    public void disconnected(String machine, long nowMicros) {
        if (session.disconnected(machine, nowMicros)) {
            resetSessionState();
        }
    }

    /** Runs timeouts, retries and due connection attempts; to be called several times per second. */
    public void tick(long nowMicros) {
        if (session.detectPause(nowMicros) && session.isOpen()) {
            sendReport();
        }
        if (session.tick(activeConfiguration.version(), nowMicros)) {
            resetSessionState();
        }
        snapshots.retry(nowMicros, settings.repairIntervalMicros()).ifPresent(this::requestChunk);
    }

    private void handleAttemptReply(PublisherMessage message, long nowMicros) {
        if (message instanceof Welcome welcome) {
            if (welcome.head().version().divergesFrom(activeConfiguration.version())) {
                logDivergence(welcome.head().version(), nowMicros);
                session.attemptFailed(nowMicros);
            } else if (session.welcomeReceived(welcome.head(), activeConfiguration.version(), nowMicros)) {
                resetSessionState();
                compareWithHead(welcome.head(), nowMicros);
            }
        } else if (message instanceof SessionRejected) {
            session.attemptFailed(nowMicros);
        }
    }

    private void handle(PublisherMessage message, long nowMicros) {
        if (message instanceof Heartbeat heartbeat) {
            session.headReceived(heartbeat.head(), activeConfiguration.version(), nowMicros);
            sendReport();
            compareWithHead(heartbeat.head(), nowMicros);
        } else if (message instanceof Deltas deltas) {
            apply(deltas.changes(), nowMicros);
        } else if (message instanceof SnapshotOffer offer) {
            handleOffer(offer, nowMicros);
        } else if (message instanceof SnapshotChunk chunk) {
            handleChunk(chunk, nowMicros);
        } else if (message instanceof SessionRejected) {
            session.sessionLost(nowMicros);
            resetSessionState();
        }
    }

    /**
     * Compares the committed state of the machine with the active one: abandons a machine of another history, and
     * requests missing changes if the machine is ahead at two heartbeats without an activation between them.
     */
    private void compareWithHead(ConfigurationHead head, long nowMicros) {
        ConfigurationVersion version = activeConfiguration.version();
        boolean hasOtherDigest = head.version().equals(version)
                && !head.digest().equals(activeConfiguration.current().digest());
        if (head.version().divergesFrom(version) || hasOtherDigest) {
            abandonDivergentMachine(head.version(), nowMicros);
        } else if (head.version().index() <= activeConfiguration.highestHandledIndex()) {
            laggingIndex = NOT_LAGGING;
        } else if (laggingIndex == version.index()) {
            // the machine was ahead at the last heartbeat too, and nothing was activated since
            requestMissing(nowMicros);
        } else {
            laggingIndex = version.index();
        }
    }

    private void apply(List<CommittedChange> changes, long nowMicros) {
        long indexBefore = activeConfiguration.version().index();
        for (CommittedChange change : changes) {
            ActivationResult result = activeConfiguration.apply(change, nowMicros);
            if (result != ActivationResult.ACTIVATED && result != ActivationResult.STALE) {
                handleUnapplied(result, change.version(), nowMicros);
                return;
            }
        }
        if (activeConfiguration.version().index() > indexBefore) {
            fetchSchedule.activated();
            sendReport();
        }
    }

    private void handleUnapplied(ActivationResult result, ConfigurationVersion version, long nowMicros) {
        switch (result) {
            case GAP -> requestMissing(nowMicros);
            case DIGEST_MISMATCH -> {
                divergenceLog.log("state after the change does not match its digest version=" + version, nowMicros);
                requestSnapshot(version.index(), nowMicros);
            }
            case DIVERGENT -> abandonDivergentMachine(version, nowMicros);
            case REJECTED -> handleRejection(nowMicros);
            default -> throw new IllegalStateException("unexpected result of a change: " + result);
        }
    }

    private void handleOffer(SnapshotOffer offer, long nowMicros) {
        if (offer.version().divergesFrom(activeConfiguration.version())) {
            abandonDivergentMachine(offer.version(), nowMicros);
        } else if (offer.version().index() > activeConfiguration.highestHandledIndex() && !snapshots.isFetching()) {
            requestSnapshot(activeConfiguration.highestHandledIndex() + 1, nowMicros);
        }
    }

    private void handleChunk(SnapshotChunk chunk, long nowMicros) {
        if (chunk.version().divergesFrom(activeConfiguration.version())) {
            abandonDivergentMachine(chunk.version(), nowMicros);
            return;
        }
        SnapshotFetcher.Progress progress = snapshots.accept(chunk, nowMicros);
        if (progress instanceof SnapshotFetcher.Progress.NextChunk next) {
            requestChunk(next);
        } else if (progress instanceof SnapshotFetcher.Progress.Finished finished) {
            handleFetched(finished.result(), chunk.version(), nowMicros);
        }
    }

    private void handleFetched(ActivationResult result, ConfigurationVersion version, long nowMicros) {
        switch (result) {
            case ACTIVATED -> {
                fetchSchedule.activated();
                sendReport();
            }
            case REJECTED -> handleRejection(nowMicros);
            case DIVERGENT -> abandonDivergentMachine(version, nowMicros);
            default -> sendReport();
        }
    }

    private void handleRejection(long nowMicros) {
        fetchSchedule.rejected(nowMicros);
        sendReport();
    }

    /**
     * Requests the missing changes. After a rejected version it requests a later snapshot instead, as changes apply
     * only directly after the active version.
     */
    private void requestMissing(long nowMicros) {
        if (activeConfiguration.hasRejectedLaterVersion()) {
            requestSnapshot(activeConfiguration.highestHandledIndex() + 1, nowMicros);
        } else if (!snapshots.isFetching() && fetchSchedule.tryRepair(nowMicros)) {
            session.send(id -> new RepairRequest(id, activeConfiguration.version()));
        }
    }

    private void requestSnapshot(long minIndex, long nowMicros) {
        if (fetchSchedule.trySnapshot(nowMicros)) {
            session.send(id -> new SnapshotRequest(id, minIndex));
        }
    }

    private void requestChunk(SnapshotFetcher.Progress.NextChunk next) {
        session.send(id -> new ChunkRequest(id, next.version(), next.offset()));
    }

    private void sendReport() {
        ConfigurationSnapshot active = activeConfiguration.current();
        Optional<ChangeRejection.Reason> reason =
                activeConfiguration.rejection().map(ChangeRejection::reason);
        session.send(id -> new StatusReport(id, active.version(), active.digest(), reason));
    }

    /** Ends the session with a machine of another history. The active state stays, and another machine is tried. */
    private void abandonDivergentMachine(ConfigurationVersion machineVersion, long nowMicros) {
        logDivergence(machineVersion, nowMicros);
        session.sessionLost(nowMicros);
        resetSessionState();
    }

    private void logDivergence(ConfigurationVersion machineVersion, long nowMicros) {
        divergenceLog.log(
                "control machine holds another history machineVersion=" + machineVersion + " activeVersion="
                        + activeConfiguration.version(),
                nowMicros);
    }

    private void resetSessionState() {
        snapshots.abort();
        laggingIndex = NOT_LAGGING;
    }
}
