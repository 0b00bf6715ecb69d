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
 * A relay's side of the distribution: follows one control machine and puts what it agreed on in force here.
 *
 * <p><b>Failure model.</b> Relays and control machines crash and restart with their disk, without it or with an older
 * one, stop for any time and go on; links lose, delay, reorder and duplicate, and are cut one way or both. Members do
 * not lie. <b>Promised:</b> every state that is put in force was agreed, and within one life, or over a restart with
 * its disk, a later one never gives way to an earlier; what is in force stays while nobody is reached. <b>Not
 * promised:</b> that all relays hold one version at one moment, or that a relay whose disk is older or wiped begins
 * where it was.
 *
 * <p>One thread that no client waits for. A message costs O(1) beside the states it carries, a turn O(1).
 */
public final class ConfigurationFollower {
    private static final long LOG_INTERVAL_MICROS = 10_000_000;
    /** The wait after refusals doubles no more often than this. */
    private static final int MAX_REJECTION_DOUBLINGS = 7;

    /**
     * What is in force at this relay.
     *
     * @param machine the control machine that is followed; empty where none is
     * @param head what that machine holds; empty where none is followed
     * @param rejection why a later version is not in force here
     */
    public record Status(
            ConfigurationVersion activeVersion,
            ConfigurationDigest digest,
            Optional<String> machine,
            Optional<ConfigurationHead> head,
            Optional<ChangeRejection> rejection) {}

    private final FollowerSettings settings;
    private final ConfigurationCodec codec;
    private final FollowerOutput output;
    private final ActiveConfiguration active;
    private final ControlSession control;
    private final RateLimitedLog divergenceLog;
    private SnapshotDownload download;
    /** No repair is asked for before this. */
    private long nextRepairMicros;
    /** No snapshot is asked for before this. */
    private long nextSnapshotRequestMicros;

    private int consecutiveRejections;
    /** The index in force when the machine last said that there is a later one; -1 where it did not. */
    private long laggingIndex = -1;

    /**
     * Loads what is stored and puts it in force.
     *
     * @param machines all control machines, at least one
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
            throw new IllegalArgumentException("there is no control machine");
        }
        this.settings = settings;
        this.codec = new ConfigurationCodec(validator.limits());
        this.output = output;
        this.active = new ActiveConfiguration(validator, store, output);
        this.divergenceLog = new RateLimitedLog(output::log, LOG_INTERVAL_MICROS);
        List<ControlMachine> order = ControlMachine.inPreferenceOrder(relay, machines);
        this.control = new ControlSession(settings, relay.name(), order, output, random, nowMicros);
        this.nextRepairMicros = nowMicros;
        this.nextSnapshotRequestMicros = nowMicros;
        active.load();
    }

    /** The state in force. */
    public ConfigurationSnapshot active() {
        return active.current();
    }

    /** Which version is in force and whom this relay follows. */
    public Status status() {
        return new Status(
                active.version(),
                active.current().digest(),
                Optional.ofNullable(control.machine()),
                Optional.ofNullable(control.head()),
                active.rejection());
    }

    /** A control machine said something. */
    public void received(String machine, PublisherMessage message, long nowMicros) {
        if (control.isCurrentAttempt(machine, message.sessionId())) {
            handleAttemptReply(message, nowMicros);
        } else if (control.isCurrentSession(machine, message.sessionId())) {
            control.heard(nowMicros);
            handle(message, nowMicros);
        }
    }

    /** The connection with a control machine is gone, or could not be made. */
    public void disconnected(String machine, long nowMicros) {
        if (control.disconnected(machine, nowMicros)) {
            resetSessionState();
        }
    }

    /** Does what is due; a few times a second. */
    public void tick(long nowMicros) {
        if (control.detectPause(nowMicros) && control.isOpen()) {
            sendReport();
        }
        if (control.tick(active.version(), nowMicros)) {
            resetSessionState();
        }
        if (download != null && download.retryIsDue(nowMicros, settings.repairIntervalMicros())) {
            continueDownload();
        }
    }

    /** The machine that was asked has answered. */
    private void handleAttemptReply(PublisherMessage message, long nowMicros) {
        if (message instanceof Welcome welcome) {
            if (welcome.head().version().divergesFrom(active.version())) {
                logDivergence(welcome.head().version(), nowMicros);
                control.attemptFailed(nowMicros);
            } else if (control.welcomed(welcome.head(), active.version(), nowMicros)) {
                resetSessionState();
                compareWithHead(welcome.head(), nowMicros);
            }
        } else if (message instanceof SessionRejected) {
            control.attemptFailed(nowMicros);
        }
    }

    private void handle(PublisherMessage message, long nowMicros) {
        if (message instanceof Heartbeat heartbeat) {
            control.heard(heartbeat.head(), active.version(), nowMicros);
            sendReport();
            compareWithHead(heartbeat.head(), nowMicros);
        } else if (message instanceof Deltas deltas) {
            apply(deltas.changes(), nowMicros);
        } else if (message instanceof SnapshotOffer offer) {
            handleOffer(offer, nowMicros);
        } else if (message instanceof SnapshotChunk chunk) {
            handleChunk(chunk, nowMicros);
        } else if (message instanceof SessionRejected) {
            control.lost(nowMicros);
            resetSessionState();
        }
    }

    /** Looks whether the machine's state is this one, a later one, or one of another history. */
    private void compareWithHead(ConfigurationHead head, long nowMicros) {
        ConfigurationVersion version = active.version();
        boolean sameVersion = head.version().equals(version);
        if (head.version().divergesFrom(version)
                || sameVersion && !head.digest().equals(active.current().digest())) {
            abandonDivergentMachine(head.version(), nowMicros);
        } else if (head.version().index() <= active.highestHandledIndex()) {
            laggingIndex = -1;
        } else if (laggingIndex == version.index()) {
            // it was behind a heartbeat ago, and nothing has come since
            requestMissing(nowMicros);
        } else {
            laggingIndex = version.index();
        }
    }

    private void apply(List<CommittedChange> changes, long nowMicros) {
        long before = active.version().index();
        for (CommittedChange change : changes) {
            ActivationResult result = active.apply(change, nowMicros);
            if (result != ActivationResult.ACTIVATED && result != ActivationResult.STALE) {
                handleFailure(result, change.version(), nowMicros);
                return;
            }
        }
        if (active.version().index() > before) {
            consecutiveRejections = 0;
            sendReport();
        }
    }

    private void handleFailure(ActivationResult result, ConfigurationVersion version, long nowMicros) {
        switch (result) {
            case GAP -> requestMissing(nowMicros);
            case DIGEST_MISMATCH -> {
                divergenceLog.log("configuration " + version + " does not lead to its digest here", nowMicros);
                requestSnapshot(version.index(), nowMicros);
            }
            case DIVERGENT -> abandonDivergentMachine(version, nowMicros);
            case REJECTED -> handleRejection(nowMicros);
            default -> throw new IllegalStateException("nothing to do after " + result);
        }
    }

    private void handleOffer(SnapshotOffer offer, long nowMicros) {
        if (offer.version().divergesFrom(active.version())) {
            abandonDivergentMachine(offer.version(), nowMicros);
        } else if (offer.version().index() > active.highestHandledIndex() && download == null) {
            requestSnapshot(active.highestHandledIndex() + 1, nowMicros);
        }
    }

    private void handleChunk(SnapshotChunk chunk, long nowMicros) {
        if (chunk.version().divergesFrom(active.version())) {
            abandonDivergentMachine(chunk.version(), nowMicros);
            return;
        }
        if (chunk.version().index() <= active.highestHandledIndex()) {
            return;
        }
        if (chunk.offset() == 0 && (download == null || chunk.version().isAfter(download.version()))) {
            beginDownload(chunk, nowMicros);
        }
        if (download != null && download.accept(chunk, nowMicros)) {
            if (download.isComplete()) {
                finishDownload(nowMicros);
            } else {
                continueDownload();
            }
        }
    }

    private void beginDownload(SnapshotChunk first, long nowMicros) {
        Optional<ChangeRejection> rejection = active.validateFormat(first.formatVersion())
                .or(() -> active.validateEncodedSize(first.totalBytes(), codec.maxSnapshotBytes()));
        if (rejection.isPresent()) {
            download = null;
            active.reject(first.version(), rejection.get());
            handleRejection(nowMicros);
            return;
        }
        download = new SnapshotDownload(first, nowMicros);
    }

    private void continueDownload() {
        if (download.isExhausted()) {
            download = null;
            return;
        }
        output.send(control.machine(), new ChunkRequest(control.sessionId(), download.version(), download.offset()));
    }

    private void finishDownload(long nowMicros) {
        ConfigurationVersion version = download.version();
        byte[] bytes = download.bytes();
        download = null;
        ActivationResult result;
        try {
            ConfigurationSnapshot snapshot = codec.decodeSnapshot(bytes);
            if (!snapshot.version().equals(version)) {
                throw new MalformedConfigurationException("a snapshot of " + version + " says " + snapshot.version());
            }
            result = active.replace(snapshot, nowMicros);
        } catch (MalformedConfigurationException e) {
            result = active.reject(version, e.toRejection());
        }
        switch (result) {
            case ACTIVATED -> {
                consecutiveRejections = 0;
                sendReport();
            }
            case REJECTED -> handleRejection(nowMicros);
            case DIVERGENT -> abandonDivergentMachine(version, nowMicros);
            default -> sendReport();
        }
    }

    private void handleRejection(long nowMicros) {
        consecutiveRejections++;
        nextSnapshotRequestMicros = nowMicros
                + (settings.rejectionBackoffMicros() << Math.min(consecutiveRejections - 1, MAX_REJECTION_DOUBLINGS));
        sendReport();
    }

    /** Asks for what is missing; past a refused state only a later snapshot leads on. */
    private void requestMissing(long nowMicros) {
        if (active.hasRejectedLaterVersion()) {
            requestSnapshot(active.highestHandledIndex() + 1, nowMicros);
        } else if (download == null && nowMicros >= nextRepairMicros) {
            nextRepairMicros = nowMicros + settings.repairIntervalMicros();
            output.send(control.machine(), new RepairRequest(control.sessionId(), active.version()));
        }
    }

    private void requestSnapshot(long minIndex, long nowMicros) {
        if (nowMicros >= nextSnapshotRequestMicros) {
            nextSnapshotRequestMicros = nowMicros + settings.repairIntervalMicros();
            output.send(control.machine(), new SnapshotRequest(control.sessionId(), minIndex));
        }
    }

    private void sendReport() {
        output.send(
                control.machine(),
                new StatusReport(
                        control.sessionId(),
                        active.version(),
                        active.current().digest(),
                        active.rejection().map(ChangeRejection::reason)));
    }

    /** The machine holds another history: what is in force stays, and another machine is asked. */
    private void abandonDivergentMachine(ConfigurationVersion machineVersion, long nowMicros) {
        logDivergence(machineVersion, nowMicros);
        control.lost(nowMicros);
        resetSessionState();
    }

    private void logDivergence(ConfigurationVersion machineVersion, long nowMicros) {
        divergenceLog.log(
                "a control machine holds " + machineVersion + " of another history than " + active.version()
                        + ", which stays in force",
                nowMicros);
    }

    private void resetSessionState() {
        download = null;
        laggingIndex = -1;
    }
}
