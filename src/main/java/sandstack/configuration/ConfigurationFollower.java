package sandstack.configuration;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import sandstack.configuration.ConfigurationMessage.ChunkRequest;
import sandstack.configuration.ConfigurationMessage.Deltas;
import sandstack.configuration.ConfigurationMessage.FromPublisher;
import sandstack.configuration.ConfigurationMessage.Heartbeat;
import sandstack.configuration.ConfigurationMessage.Rejected;
import sandstack.configuration.ConfigurationMessage.RepairRequest;
import sandstack.configuration.ConfigurationMessage.Report;
import sandstack.configuration.ConfigurationMessage.SnapshotChunk;
import sandstack.configuration.ConfigurationMessage.SnapshotOffer;
import sandstack.configuration.ConfigurationMessage.SnapshotRequest;
import sandstack.configuration.ConfigurationMessage.Welcome;
import sandstack.configuration.InForceConfiguration.Result;

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
    private static final long LINE_INTERVAL = 10_000_000;
    /** The wait after refusals doubles no more often than this. */
    private static final int MOST_REFUSAL_DOUBLINGS = 7;

    /**
     * What is in force at this relay.
     *
     * @param machine the control machine that is followed; empty where none is
     * @param head what that machine holds; empty where none is followed
     * @param refusal why a later version is not in force here
     */
    public record Status(
            ConfigurationVersion inForce,
            ConfigurationDigest digest,
            Optional<String> machine,
            Optional<ConfigurationHead> head,
            Optional<ChangeRefusal> refusal) {}

    private final FollowerSettings settings;
    private final ConfigurationCodec codec;
    private final FollowerOutput output;
    private final InForceConfiguration inForce;
    private final ControlSession control;
    private final LineLimiter divergenceLines;
    private SnapshotDownload download;
    /** No repair is asked for before this. */
    private long repairAt;
    /** No snapshot is asked for before this. */
    private long snapshotAt;

    private int refusals;
    /** The index in force when the machine last said that there is a later one; -1 where it did not. */
    private long behindAt = -1;

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
            long now) {
        if (machines.isEmpty()) {
            throw new IllegalArgumentException("there is no control machine");
        }
        this.settings = settings;
        this.codec = new ConfigurationCodec(validator.limits());
        this.output = output;
        this.inForce = new InForceConfiguration(validator, store, output);
        this.divergenceLines = new LineLimiter(output::line, LINE_INTERVAL);
        List<ControlMachine> order = ControlMachine.inOrderFor(relay, machines);
        this.control = new ControlSession(settings, relay.name(), order, output, random, now);
        this.repairAt = now;
        this.snapshotAt = now;
        inForce.load();
    }

    /** The state in force. */
    public ConfigurationSnapshot inForce() {
        return inForce.current();
    }

    /** Which version is in force and whom this relay follows. */
    public Status status() {
        return new Status(
                inForce.version(),
                inForce.current().digest(),
                Optional.ofNullable(control.machine()),
                Optional.ofNullable(control.head()),
                inForce.refusal());
    }

    /** A control machine said something. */
    public void received(String machine, FromPublisher message, long now) {
        if (control.isAttempt(machine, message.session())) {
            answered(message, now);
        } else if (control.isCurrent(machine, message.session())) {
            control.heard(now);
            handle(message, now);
        }
    }

    /** The connection with a control machine is gone, or could not be made. */
    public void disconnected(String machine, long now) {
        if (control.disconnected(machine, now)) {
            sessionChanged();
        }
    }

    /** Does what is due; a few times a second. */
    public void turn(long now) {
        if (control.slept(now) && control.isOpen()) {
            report();
        }
        if (control.turn(inForce.version(), now)) {
            sessionChanged();
        }
        if (download != null && download.retries(now, settings.repairInterval())) {
            continueDownload();
        }
    }

    /** The machine that was asked has answered. */
    private void answered(FromPublisher message, long now) {
        if (message instanceof Welcome welcome) {
            if (welcome.head().version().contradicts(inForce.version())) {
                reportDivergence(welcome.head().version(), now);
                control.attemptFailed(now);
            } else if (control.welcomed(welcome.head(), inForce.version(), now)) {
                sessionChanged();
                compare(welcome.head(), now);
            }
        } else if (message instanceof Rejected) {
            control.attemptFailed(now);
        }
    }

    private void handle(FromPublisher message, long now) {
        if (message instanceof Heartbeat heartbeat) {
            control.heard(heartbeat.head(), inForce.version(), now);
            report();
            compare(heartbeat.head(), now);
        } else if (message instanceof Deltas deltas) {
            apply(deltas.changes(), now);
        } else if (message instanceof SnapshotOffer offer) {
            handleOffer(offer, now);
        } else if (message instanceof SnapshotChunk chunk) {
            handleChunk(chunk, now);
        } else if (message instanceof Rejected) {
            control.lost(now);
            sessionChanged();
        }
    }

    /** Looks whether the machine's state is this one, a later one, or one of another history. */
    private void compare(ConfigurationHead head, long now) {
        ConfigurationVersion version = inForce.version();
        boolean sameVersion = head.version().equals(version);
        if (head.version().contradicts(version)
                || sameVersion && !head.digest().equals(inForce.current().digest())) {
            leaveDivergent(head.version(), now);
        } else if (head.version().index() <= inForce.notWanted()) {
            behindAt = -1;
        } else if (behindAt == version.index()) {
            // it was behind a heartbeat ago, and nothing has come since
            repair(now);
        } else {
            behindAt = version.index();
        }
    }

    private void apply(List<AgreedChange> changes, long now) {
        long before = inForce.version().index();
        for (AgreedChange change : changes) {
            Result result = inForce.apply(change, now);
            if (result != Result.IN_FORCE && result != Result.OLD) {
                notApplied(result, change.version(), now);
                return;
            }
        }
        if (inForce.version().index() > before) {
            refusals = 0;
            report();
        }
    }

    private void notApplied(Result result, ConfigurationVersion version, long now) {
        switch (result) {
            case GAP -> repair(now);
            case MISMATCH -> {
                divergenceLines.line("configuration " + version + " does not lead to its digest here", now);
                requestSnapshot(version.index(), now);
            }
            case DIVERGENT -> leaveDivergent(version, now);
            case REFUSED -> refused(now);
            default -> throw new IllegalStateException("nothing to do after " + result);
        }
    }

    private void handleOffer(SnapshotOffer offer, long now) {
        if (offer.version().contradicts(inForce.version())) {
            leaveDivergent(offer.version(), now);
        } else if (offer.version().index() > inForce.notWanted() && download == null) {
            requestSnapshot(inForce.notWanted() + 1, now);
        }
    }

    private void handleChunk(SnapshotChunk chunk, long now) {
        if (chunk.version().contradicts(inForce.version())) {
            leaveDivergent(chunk.version(), now);
            return;
        }
        if (chunk.version().index() <= inForce.notWanted()) {
            return;
        }
        if (chunk.offset() == 0 && (download == null || chunk.version().isAfter(download.version()))) {
            beginDownload(chunk, now);
        }
        if (download != null && download.take(chunk, now)) {
            if (download.isComplete()) {
                finishDownload(now);
            } else {
                continueDownload();
            }
        }
    }

    private void beginDownload(SnapshotChunk first, long now) {
        Optional<ChangeRefusal> refusal = inForce.refuseFormat(first.formatVersion())
                .or(() -> inForce.refuseSize(first.totalBytes(), codec.mostSnapshotBytes()));
        if (refusal.isPresent()) {
            download = null;
            inForce.refuse(first.version(), refusal.get());
            refused(now);
            return;
        }
        download = new SnapshotDownload(first, now);
    }

    private void continueDownload() {
        if (download.isHopeless()) {
            download = null;
            return;
        }
        output.send(control.machine(), new ChunkRequest(control.id(), download.version(), download.offset()));
    }

    private void finishDownload(long now) {
        ConfigurationVersion version = download.version();
        byte[] bytes = download.bytes();
        download = null;
        Result result;
        try {
            ConfigurationSnapshot snapshot = codec.decodeSnapshot(bytes);
            if (!snapshot.version().equals(version)) {
                throw new MalformedConfigurationException("a snapshot of " + version + " says " + snapshot.version());
            }
            result = inForce.replace(snapshot, now);
        } catch (MalformedConfigurationException e) {
            result = inForce.refuse(version, e.refusal());
        }
        switch (result) {
            case IN_FORCE -> {
                refusals = 0;
                report();
            }
            case REFUSED -> refused(now);
            case DIVERGENT -> leaveDivergent(version, now);
            default -> report();
        }
    }

    private void refused(long now) {
        refusals++;
        snapshotAt = now + (settings.refusalWait() << Math.min(refusals - 1, MOST_REFUSAL_DOUBLINGS));
        report();
    }

    /** Asks for what is missing; past a refused state only a later snapshot leads on. */
    private void repair(long now) {
        if (inForce.isStuck()) {
            requestSnapshot(inForce.notWanted() + 1, now);
        } else if (download == null && now >= repairAt) {
            repairAt = now + settings.repairInterval();
            output.send(control.machine(), new RepairRequest(control.id(), inForce.version()));
        }
    }

    private void requestSnapshot(long leastIndex, long now) {
        if (now >= snapshotAt) {
            snapshotAt = now + settings.repairInterval();
            output.send(control.machine(), new SnapshotRequest(control.id(), leastIndex));
        }
    }

    private void report() {
        output.send(
                control.machine(),
                new Report(
                        control.id(),
                        inForce.version(),
                        inForce.current().digest(),
                        inForce.refusal().map(ChangeRefusal::reason)));
    }

    /** The machine holds another history: what is in force stays, and another machine is asked. */
    private void leaveDivergent(ConfigurationVersion theirs, long now) {
        reportDivergence(theirs, now);
        control.lost(now);
        sessionChanged();
    }

    private void reportDivergence(ConfigurationVersion theirs, long now) {
        divergenceLines.line(
                "a control machine holds " + theirs + " of another history than " + inForce.version()
                        + ", which stays in force",
                now);
    }

    private void sessionChanged() {
        download = null;
        behindAt = -1;
    }
}
