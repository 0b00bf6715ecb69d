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
 * A relay's side of the distribution: follows one control machine and activates what was committed there.
 *
 * <p><b>Failure model.</b> Relays and control machines crash and restart with their disk, without it or with an older
 * one, and pause for any time; links lose, delay, reorder and duplicate messages, and are cut one way or both. Members
 * do not lie. <b>Guaranteed:</b> every state that is activated was committed, and within one incarnation, or over a
 * restart with a disk that has stored all of them, a later version is never replaced by an earlier one; the active
 * state stays while no machine is reached. <b>Not guaranteed:</b> that all relays hold one version at one moment, or
 * that a relay whose disk is older or wiped begins where it was.
 *
 * <p>Not thread-safe; called on one thread that no client waits for. Moments are microseconds of a monotonic clock. A
 * message costs O(1) beside the states that it carries, a tick O(1).
 */
public final class ConfigurationFollower {
    private static final long NOT_LAGGING = -1;

    /**
     * What is active at this relay.
     *
     * @param machine the control machine that is followed; empty where none is
     * @param head what that machine holds; empty where none is followed
     * @param rejection why a later version is not active here
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
    /** The active index when the machine last reported a later one; {@link #NOT_LAGGING} where it did not. */
    private long laggingIndex = NOT_LAGGING;

    /**
     * Loads and activates what is stored.
     *
     * @param machines all control machines, at least one
     * @param random for the backoff, the failback and the ids of sessions
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
            throw new IllegalArgumentException("machines is empty: a relay needs a control machine to follow");
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

    /** The configuration that is active at this relay. */
    public ConfigurationSnapshot activeSnapshot() {
        return activeConfiguration.current();
    }

    /** Which version is active and which machine this relay follows. */
    public Status status() {
        return new Status(
                activeConfiguration.version(),
                activeConfiguration.current().digest(),
                session.machine(),
                session.head(),
                activeConfiguration.rejection());
    }

    /** A message of a control machine arrived; one of another session or attempt is ignored. */
    public void received(String machine, PublisherMessage message, long nowMicros) {
        if (session.isCurrentAttempt(machine, message.sessionId())) {
            handleAttemptReply(message, nowMicros);
        } else if (session.isCurrentSession(machine, message.sessionId())) {
            session.heard(nowMicros);
            handle(message, nowMicros);
        }
    }

    /** The connection with a control machine is gone, or could not be made. */
    public void disconnected(String machine, long nowMicros) {
        if (session.disconnected(machine, nowMicros)) {
            resetSessionState();
        }
    }

    /** Does what is due; to be called a few times a second. */
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
            } else if (session.welcomed(welcome.head(), activeConfiguration.version(), nowMicros)) {
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
            session.lost(nowMicros);
            resetSessionState();
        }
    }

    /**
     * Distinguishes a machine that holds the active state or an earlier one, a later one, or one of another history.
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
            // it lagged at the last heartbeat too, and nothing was activated since
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
                divergenceLog.log("change does not lead to its digest version=" + version, nowMicros);
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

    /** Requests what is missing; after a rejected state only a later snapshot helps. */
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

    /** The machine holds another history: the active state stays, and another machine is tried. */
    private void abandonDivergentMachine(ConfigurationVersion machineVersion, long nowMicros) {
        logDivergence(machineVersion, nowMicros);
        session.lost(nowMicros);
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
