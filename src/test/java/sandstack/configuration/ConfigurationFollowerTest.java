package sandstack.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import sandstack.configuration.ConfigurationMessage.ChunkRequest;
import sandstack.configuration.ConfigurationMessage.Deltas;
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

/** Which changes and snapshots a relay activates or rejects, and which control machine it follows. */
class ConfigurationFollowerTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long TICK_MICROS = 100_000;
    private static final List<ControlMachine> MACHINES = List.of(
            new ControlMachine("north-1", "north"),
            new ControlMachine("north-2", "north"),
            new ControlMachine("south-1", "south"));

    /** An in-memory store whose content and failures the test controls. */
    private static final class Disk implements ConfigurationStore {
        Loaded stored = new Loaded.Absent();
        boolean fails;

        @Override
        public Loaded load() {
            return stored;
        }

        @Override
        public void apply(CommittedChange change, ConfigurationSnapshot after) throws ConfigurationStoreException {
            replace(after);
        }

        @Override
        public void replace(ConfigurationSnapshot snapshot) throws ConfigurationStoreException {
            if (fails) {
                throw new ConfigurationStoreException("no space", null);
            }
            stored = found(snapshot);
        }

        static Loaded.Found found(ConfigurationSnapshot snapshot) {
            return new Loaded.Found(
                    snapshot.version(), snapshot.formatVersion(), snapshot.entries(), snapshot.digest());
        }
    }

    private final ConfigurationCodec codec = new ConfigurationCodec(ConfigurationLimits.DEFAULT);
    private final RecordingFollowerOutput output = new RecordingFollowerOutput();
    private final CommittedHistory history = new CommittedHistory();
    private final Disk disk = new Disk();
    private ConfigurationCheck check = ConfigurationCheck.NONE;
    private ConfigurationFollower follower;
    private long nowMicros;

    private void start() {
        follower = new ConfigurationFollower(
                FollowerSettings.DEFAULT,
                new RelayIdentity("relay-1", "north"),
                MACHINES,
                new ChangeValidator(ConfigurationLimits.DEFAULT, state -> check.findProblem(state)),
                disk,
                output,
                new SplittableRandom(5),
                nowMicros);
    }

    private void run(long micros) {
        for (long end = nowMicros + micros; nowMicros < end; ) {
            nowMicros += TICK_MICROS;
            follower.tick(nowMicros);
        }
    }

    /** Runs the follower for a duration while its control machine sends one heartbeat per second with this head. */
    private void runWithHeartbeats(ConfigurationHead head, long micros) {
        String machine = follower.status().machine().orElseThrow();
        long session = session();
        for (long end = nowMicros + micros; nowMicros < end; ) {
            follower.received(machine, new Heartbeat(session, head), nowMicros);
            run(SECOND_MICROS);
        }
    }

    private Hello lastHello() {
        List<Hello> hellos = output.messages(Hello.class);
        return hellos.get(hellos.size() - 1);
    }

    private String lastContactedMachine() {
        return output.sent.stream()
                .filter(sent -> sent.message() instanceof Hello)
                .reduce((first, second) -> second)
                .orElseThrow()
                .machine();
    }

    private void followMachineWithQuorum() {
        follow(history.headWithQuorum());
    }

    private void followMachineWithoutQuorum() {
        follow(history.headWithoutQuorum());
    }

    /** Runs the follower until it sends a hello, and replies with a welcome with this head. */
    private void follow(ConfigurationHead head) {
        int hellosBefore = output.messages(Hello.class).size();
        while (output.messages(Hello.class).size() == hellosBefore) {
            run(TICK_MICROS);
        }
        follower.received(lastContactedMachine(), new Welcome(lastHello().sessionId(), head), nowMicros);
    }

    private void receive(ConfigurationMessage.PublisherMessage message) {
        follower.received(follower.status().machine().orElseThrow(), message, nowMicros);
    }

    private long session() {
        return lastHello().sessionId();
    }

    private void heartbeatWithQuorum() {
        receive(new Heartbeat(session(), history.headWithQuorum()));
    }

    private void deltas(int from, int to) {
        receive(new Deltas(session(), history.changes.subList(from, to)));
    }

    /** Delivers all chunks of a snapshot to the follower, without waiting for its requests. */
    private void sendSnapshot(ConfigurationSnapshot snapshot, int chunkBytes) {
        byte[] bytes = codec.encode(snapshot);
        for (int offset = 0; offset < bytes.length; offset += chunkBytes) {
            byte[] chunk = Arrays.copyOfRange(bytes, offset, Math.min(bytes.length, offset + chunkBytes));
            receive(new SnapshotChunk(
                    session(), snapshot.version(), snapshot.formatVersion(), bytes.length, offset, chunk));
        }
    }

    @Test
    void changesAreStoredActivatedAndReported() {
        start();
        followMachineWithQuorum();
        history.commitMany(3);
        deltas(0, 3);
        assertThat(follower.activeSnapshot()).isEqualTo(history.current());
        assertThat(output.activated).hasSize(3);
        assertThat(disk.stored).isEqualTo(Disk.found(history.current()));
        assertThat(output.lastSent().message())
                .isEqualTo(new StatusReport(
                        session(),
                        history.current().version(),
                        history.current().digest(),
                        Optional.empty()));
    }

    @Test
    void gapIsRepairedBeforeAnythingIsActivated() {
        start();
        followMachineWithQuorum();
        history.commitMany(3);
        deltas(1, 3);
        assertThat(output.activated).isEmpty();
        assertThat(output.lastSent().message()).isEqualTo(new RepairRequest(session(), ConfigurationVersion.NONE));
        deltas(2, 3);
        assertThat(output.messages(RepairRequest.class)).hasSize(1);
    }

    @Test
    void staleChangesAndSnapshotsAreIgnored() {
        start();
        followMachineWithQuorum();
        history.commitMany(3);
        deltas(0, 3);
        deltas(0, 2);
        sendSnapshot(history.states.get(2), 1_000);
        assertThat(follower.activeSnapshot()).isEqualTo(history.current());
        assertThat(output.activated).hasSize(3);
    }

    @Test
    void machineThatIsBehindDoesNotRollTheRelayBack() {
        history.commitMany(5);
        disk.stored = Disk.found(history.current());
        start();
        assertThat(output.activated).containsExactly(history.current());
        int hellosBefore = output.messages(Hello.class).size();
        run(SECOND_MICROS);
        assertThat(output.messages(Hello.class)).hasSize(hellosBefore + 1);
        String lagging = lastContactedMachine();
        ConfigurationSnapshot old = history.states.get(2);
        follower.received(
                lagging, new Welcome(session(), new ConfigurationHead(old.version(), old.digest(), true)), nowMicros);
        sendSnapshot(old, 1_000);
        assertThat(follower.activeSnapshot()).isEqualTo(history.current());
        runWithHeartbeats(new ConfigurationHead(old.version(), old.digest(), true), 8 * SECOND_MICROS);
        // the machine is behind the active version, so others are tried
        assertThat(lastContactedMachine()).isNotEqualTo(lagging);
        long newSession = session();
        follower.received(lastContactedMachine(), new Welcome(newSession, history.headWithQuorum()), nowMicros);
        assertThat(follower.status().machine()).contains(lastContactedMachine());
        assertThat(output.sent).anyMatch(sent -> sent.machine().equals(lagging) && sent.message() instanceof Goodbye);
    }

    @Test
    void divergentHistoryIsNotActivated() {
        history.commitMany(3);
        disk.stored = Disk.found(history.current());
        start();
        run(SECOND_MICROS);
        String machine = lastContactedMachine();
        ConfigurationVersion other = new ConfigurationVersion(7, 2);
        follower.received(
                machine,
                new Welcome(session(), new ConfigurationHead(other, ConfigurationDigest.EMPTY, true)),
                nowMicros);
        assertThat(follower.status().machine()).isEmpty();
        assertThat(output.logLines).hasSize(1).allMatch(line -> line.contains("another history"));
        followMachineWithQuorum();
        receive(new Heartbeat(
                session(), new ConfigurationHead(history.current().version(), ConfigurationDigest.EMPTY, true)));
        assertThat(follower.status().machine()).isEmpty();
        assertThat(follower.activeSnapshot()).isEqualTo(history.current());
    }

    @Test
    void digestMismatchRequestsASnapshot() {
        start();
        followMachineWithQuorum();
        CommittedChange good = history.commit("a", "1");
        receive(new Deltas(
                session(), List.of(new CommittedChange(good.version(), good.change(), new ConfigurationDigest(1, 2)))));
        assertThat(output.activated).isEmpty();
        assertThat(output.lastSent().message()).isEqualTo(new SnapshotRequest(session(), 1));
        sendSnapshot(history.current(), 10);
        assertThat(follower.activeSnapshot()).isEqualTo(history.current());
    }

    @Test
    void secondHeartbeatWithALaterVersionRequestsARepair() {
        start();
        followMachineWithQuorum();
        history.commitMany(2);
        heartbeatWithQuorum();
        assertThat(output.messages(RepairRequest.class)).isEmpty();
        run(2 * SECOND_MICROS);
        heartbeatWithQuorum();
        assertThat(output.messages(RepairRequest.class)).hasSize(1);
    }

    @Test
    void relayFarBehindFetchesASnapshotInChunks() {
        start();
        followMachineWithQuorum();
        history.commitMany(20);
        receive(new SnapshotOffer(session(), history.current().version(), 1));
        assertThat(output.lastSent().message()).isEqualTo(new SnapshotRequest(session(), 1));
        sendSnapshot(history.current(), 20);
        assertThat(follower.activeSnapshot()).isEqualTo(history.current());
        assertThat(output.messages(ChunkRequest.class).size()).isGreaterThan(3);
        assertThat(output.activated).hasSize(1);
    }

    @Test
    void lostChunksAreRequestedAgainABoundedNumberOfTimes() {
        start();
        followMachineWithQuorum();
        history.commitMany(20);
        byte[] bytes = codec.encode(history.current());
        receive(new SnapshotChunk(
                session(), history.current().version(), 1, bytes.length, 0, Arrays.copyOf(bytes, 50)));
        for (int i = 0; i < 60; i++) {
            run(SECOND_MICROS);
            receive(new Heartbeat(
                    session(), new ConfigurationHead(ConfigurationVersion.NONE, ConfigurationDigest.EMPTY, true)));
        }
        assertThat(output.messages(ChunkRequest.class).size()).isBetween(5, 12);
    }

    @Test
    void oversizedSnapshotIsRejectedAtItsFirstChunk() {
        start();
        followMachineWithQuorum();
        history.commitMany(1);
        receive(new SnapshotChunk(session(), history.current().version(), 1, 60 << 20, 0, new byte[1_000]));
        assertThat(output.logLines).hasSize(1).allMatch(line -> line.contains("CONFIGURATION_TOO_LARGE"));
        assertThat(output.messages(ChunkRequest.class)).isEmpty();
        assertThat(((StatusReport) output.lastSent().message()).rejectionReason())
                .contains(ChangeRejection.Reason.CONFIGURATION_TOO_LARGE);
    }

    @Test
    void unknownFormatIsRejectedAndALaterRollbackActivated() {
        start();
        followMachineWithQuorum();
        history.commit("a", "1");
        deltas(0, 1);
        history.commit(2, 1, Map.of("a", "in a new way"));
        deltas(1, 2);
        assertThat(follower.status().rejection().map(ChangeRejection::reason))
                .contains(ChangeRejection.Reason.UNKNOWN_FORMAT);
        assertThat(follower.activeSnapshot()).isEqualTo(history.states.get(1));
        assertThat(output.logLines).hasSize(1);
        // a heartbeat with the rejected version does not cause a snapshot request
        runWithHeartbeats(history.headWithQuorum(), 10 * SECOND_MICROS);
        assertThat(output.messages(SnapshotRequest.class)).isEmpty();
        history.commit("a", "1");
        deltas(2, 3);
        assertThat(output.lastSent().message()).isEqualTo(new SnapshotRequest(session(), 3));
        sendSnapshot(history.current(), 1_000);
        assertThat(follower.activeSnapshot()).isEqualTo(history.current());
        assertThat(follower.status().rejection()).isEmpty();
    }

    @Test
    void unusableChangeIsNotActivated() {
        check = state -> "bad".equals(state.entries().get("a")) ? Optional.of("a is bad") : Optional.empty();
        start();
        followMachineWithQuorum();
        history.commit("a", "1");
        history.commit("a", "bad");
        deltas(0, 2);
        assertThat(follower.activeSnapshot()).isEqualTo(history.states.get(1));
        assertThat(((StatusReport) output.lastSent().message()).rejectionReason())
                .contains(ChangeRejection.Reason.UNUSABLE);
    }

    /** A relay that rejects what all others accept must not load the control machines with snapshot requests. */
    @Test
    void rejectedStatesAreFetchedWithBackoff() {
        check = state -> state.entries().containsKey("bad") ? Optional.of("bad is there") : Optional.empty();
        start();
        followMachineWithQuorum();
        history.commit("bad", "1");
        deltas(0, 1);
        int answeredRequests = 0;
        for (int i = 0; i < 300; i++) {
            run(SECOND_MICROS);
            history.commit("other", "" + i);
            deltas(i + 1, i + 2);
            heartbeatWithQuorum();
            if (output.messages(SnapshotRequest.class).size() > answeredRequests) {
                answeredRequests = output.messages(SnapshotRequest.class).size();
                sendSnapshot(history.current(), 10_000);
            }
        }
        assertThat(output.messages(SnapshotRequest.class).size()).isBetween(3, 12);
    }

    @Test
    void damagedStoredStateIsRejectedAndFetchedAgain() {
        history.commitMany(2);
        ConfigurationSnapshot committed = history.current();
        Map<String, String> damaged = new HashMap<>(committed.entries());
        damaged.put("key-0", "damaged");
        disk.stored = new ConfigurationStore.Loaded.Found(committed.version(), 1, damaged, committed.digest());
        start();
        assertThat(output.activated).isEmpty();
        assertThat(output.logLines).hasSize(1).allMatch(line -> line.contains("does not match its digest"));
        followMachineWithQuorum();
        assertThat(lastHello().activeVersion()).isEqualTo(ConfigurationVersion.NONE);
        deltas(0, 2);
        assertThat(disk.stored).isEqualTo(Disk.found(committed));
    }

    @Test
    void storeFailureDoesNotPreventActivation() {
        start();
        followMachineWithQuorum();
        disk.fails = true;
        history.commitMany(5);
        deltas(0, 5);
        assertThat(follower.activeSnapshot()).isEqualTo(history.current());
        assertThat(output.logLines).hasSize(1).allMatch(line -> line.contains("no space"));
    }

    @Test
    void machinesOfTheOwnRegionAreTriedFirst() {
        start();
        List<String> contactedMachines = new ArrayList<>();
        while (contactedMachines.size() < 3) {
            int hellosBefore = output.messages(Hello.class).size();
            run(TICK_MICROS);
            if (output.messages(Hello.class).size() > hellosBefore) {
                contactedMachines.add(lastContactedMachine());
                follower.received(
                        lastContactedMachine(), new SessionRejected(session(), SessionRejectionReason.FULL), nowMicros);
            }
        }
        assertThat(contactedMachines.subList(0, 2)).containsExactlyInAnyOrder("north-1", "north-2");
        assertThat(contactedMachines.get(2)).isEqualTo("south-1");
    }

    @Test
    void silentMachineIsAbandonedAndTheActiveStateStays() {
        history.commitMany(1);
        start();
        followMachineWithQuorum();
        deltas(0, 1);
        String firstMachine = follower.status().machine().orElseThrow();
        run(7 * SECOND_MICROS);
        assertThat(follower.status().machine()).isEmpty();
        run(2 * SECOND_MICROS);
        assertThat(lastContactedMachine()).isNotEqualTo(firstMachine);
        assertThat(follower.activeSnapshot()).isEqualTo(history.current());
    }

    /** The silence timeout does not expire because of a pause of the relay's own process. */
    @Test
    void pauseOfTheRelayKeepsTheSession() {
        start();
        followMachineWithQuorum();
        nowMicros += 30 * SECOND_MICROS;
        follower.tick(nowMicros);
        assertThat(follower.status().machine()).isPresent();
        assertThat(output.lastSent().message()).isInstanceOf(StatusReport.class);
    }

    @Test
    void sessionIsKeptWhileNoMachineHasAQuorum() {
        start();
        followMachineWithoutQuorum();
        String firstMachine = follower.status().machine().orElseThrow();
        for (int i = 0; i < 60; i++) {
            run(SECOND_MICROS);
            long attempt = session();
            if (!lastContactedMachine().equals(firstMachine)) {
                follower.received(lastContactedMachine(), new Welcome(attempt, history.headWithoutQuorum()), nowMicros);
            }
            follower.received(
                    firstMachine,
                    new Heartbeat(output.messages(Hello.class).get(0).sessionId(), history.headWithoutQuorum()),
                    nowMicros);
        }
        assertThat(follower.status().machine()).contains(firstMachine);
        assertThat(output.messages(Hello.class).size()).isBetween(8, 30);
    }

    /** The attempt after the n-th failure is uniform over 2^n slots, which begin where the previous interval ends. */
    @Test
    void attemptsAreSpreadOverGrowingIntervals() {
        FollowerSettings settings = FollowerSettings.DEFAULT;
        long slot = settings.backoffSlotMicros();
        List<Long> secondAttempts = new ArrayList<>();
        for (int relay = 0; relay < 2_000; relay++) {
            ReconnectBackoff backoff =
                    new ReconnectBackoff(slot, settings.maxBackoffDoublings(), new SplittableRandom(relay), 0);
            long first = backoff.firstAttemptMicros(0);
            assertThat(first).isBetween(0L, slot - 1);
            long next = backoff.nextAttemptMicros(first);
            assertThat(next).isBetween(slot, 3 * slot - 1);
            secondAttempts.add(next);
            long after = backoff.nextAttemptMicros(next);
            assertThat(after).isBetween(3 * slot, 7 * slot - 1);
        }
        long inFirstHalf =
                secondAttempts.stream().filter(micros -> micros < 2 * slot).count();
        assertThat(inFirstHalf).isBetween(900L, 1_100L);
    }
}
