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
import sandstack.configuration.ConfigurationMessage.Rejected;
import sandstack.configuration.ConfigurationMessage.RejectionReason;
import sandstack.configuration.ConfigurationMessage.RepairRequest;
import sandstack.configuration.ConfigurationMessage.Report;
import sandstack.configuration.ConfigurationMessage.SnapshotChunk;
import sandstack.configuration.ConfigurationMessage.SnapshotOffer;
import sandstack.configuration.ConfigurationMessage.SnapshotRequest;
import sandstack.configuration.ConfigurationMessage.Welcome;

/** What a relay takes, what it refuses, and whom it asks. */
class ConfigurationFollowerTest {
    private static final long SECOND = 1_000_000;
    private static final long TURN = 100_000;
    private static final List<ControlMachine> MACHINES = List.of(
            new ControlMachine("north-1", "north"),
            new ControlMachine("north-2", "north"),
            new ControlMachine("south-1", "south"));

    /** A disk that is told what to hold. */
    private static final class Disk implements ConfigurationStore {
        Loaded held = new Loaded.Nothing();
        boolean fails;
        int writes;

        @Override
        public Loaded load() {
            return held;
        }

        @Override
        public void apply(AgreedChange change, ConfigurationSnapshot after) throws ConfigurationStoreException {
            replace(after);
        }

        @Override
        public void replace(ConfigurationSnapshot snapshot) throws ConfigurationStoreException {
            if (fails) {
                throw new ConfigurationStoreException("no space", null);
            }
            writes++;
            held = found(snapshot);
        }

        static Loaded.Found found(ConfigurationSnapshot snapshot) {
            return new Loaded.Found(
                    snapshot.version(), snapshot.formatVersion(), snapshot.entries(), snapshot.digest());
        }
    }

    private final ConfigurationCodec codec = new ConfigurationCodec(ConfigurationLimits.DEFAULT);
    private final RecordingFollowerOutput output = new RecordingFollowerOutput();
    private final AgreedHistory history = new AgreedHistory();
    private final Disk disk = new Disk();
    private ConfigurationCheck check = ConfigurationCheck.NONE;
    private ConfigurationFollower follower;
    private long now;

    private void start() {
        follower = new ConfigurationFollower(
                FollowerSettings.DEFAULT,
                new RelayIdentity("relay-1", "north"),
                MACHINES,
                new ChangeValidator(ConfigurationLimits.DEFAULT, state -> check.problem(state)),
                disk,
                output,
                new SplittableRandom(5),
                now);
    }

    private void run(long micros) {
        for (long end = now + micros; now < end; ) {
            now += TURN;
            follower.turn(now);
        }
    }

    /** The same while the machine that is followed sends heartbeats with this head. */
    private void runHearing(ConfigurationHead head, long micros) {
        String machine = follower.status().machine().orElseThrow();
        long session = session();
        for (long end = now + micros; now < end; ) {
            follower.received(machine, new Heartbeat(session, head), now);
            run(SECOND);
        }
    }

    private Hello lastHello() {
        List<Hello> hellos = output.messages(Hello.class);
        return hellos.get(hellos.size() - 1);
    }

    private String lastAsked() {
        return output.sent.stream()
                .filter(sent -> sent.message() instanceof Hello)
                .reduce((first, second) -> second)
                .orElseThrow()
                .machine();
    }

    /** Runs until a hello is sent and welcomes it. */
    private void follow(boolean quorum) {
        int before = output.messages(Hello.class).size();
        while (output.messages(Hello.class).size() == before) {
            run(TURN);
        }
        follower.received(lastAsked(), new Welcome(lastHello().session(), history.head(quorum)), now);
    }

    private void hear(ConfigurationMessage.FromPublisher message) {
        follower.received(follower.status().machine().orElseThrow(), message, now);
    }

    private long session() {
        return lastHello().session();
    }

    private void heartbeat(boolean quorum) {
        hear(new Heartbeat(session(), history.head(quorum)));
    }

    private void deltas(int from, int to) {
        hear(new Deltas(session(), history.changes.subList(from, to)));
    }

    /** Sends a snapshot in parts, as they are asked for. */
    private void sendSnapshot(ConfigurationSnapshot snapshot, int partBytes) {
        byte[] bytes = codec.encode(snapshot);
        for (int offset = 0; offset < bytes.length; offset += partBytes) {
            byte[] part = Arrays.copyOfRange(bytes, offset, Math.min(bytes.length, offset + partBytes));
            hear(new SnapshotChunk(
                    session(), snapshot.version(), snapshot.formatVersion(), bytes.length, offset, part));
        }
    }

    @Test
    void changesAreTakenStoredAndReported() {
        start();
        follow(true);
        history.addMany(3);
        deltas(0, 3);
        assertThat(follower.inForce()).isEqualTo(history.current());
        assertThat(output.states).hasSize(3);
        assertThat(disk.held).isEqualTo(Disk.found(history.current()));
        assertThat(output.last().message())
                .isEqualTo(new Report(
                        session(),
                        history.current().version(),
                        history.current().digest(),
                        Optional.empty()));
    }

    @Test
    void aGapIsNotTakenButRepaired() {
        start();
        follow(true);
        history.addMany(3);
        deltas(1, 3);
        assertThat(output.states).isEmpty();
        assertThat(output.last().message()).isEqualTo(new RepairRequest(session(), ConfigurationVersion.NONE));
        deltas(2, 3);
        assertThat(output.messages(RepairRequest.class)).hasSize(1);
    }

    @Test
    void whatIsOldChangesNothing() {
        start();
        follow(true);
        history.addMany(3);
        deltas(0, 3);
        deltas(0, 2);
        sendSnapshot(history.states.get(2), 1_000);
        assertThat(follower.inForce()).isEqualTo(history.current());
        assertThat(output.states).hasSize(3);
    }

    @Test
    void aMachineThatIsOlderDoesNotRollARelayBack() {
        history.addMany(5);
        disk.held = Disk.found(history.current());
        start();
        assertThat(output.states).containsExactly(history.current());
        int before = output.messages(Hello.class).size();
        run(SECOND);
        assertThat(output.messages(Hello.class)).hasSize(before + 1);
        String older = lastAsked();
        ConfigurationSnapshot old = history.states.get(2);
        follower.received(older, new Welcome(session(), new ConfigurationHead(old.version(), old.digest(), true)), now);
        sendSnapshot(old, 1_000);
        assertThat(follower.inForce()).isEqualTo(history.current());
        runHearing(new ConfigurationHead(old.version(), old.digest(), true), 8 * SECOND);
        // it is behind, so others are asked
        assertThat(lastAsked()).isNotEqualTo(older);
        long again = session();
        follower.received(lastAsked(), new Welcome(again, history.head(true)), now);
        assertThat(follower.status().machine()).contains(lastAsked());
        assertThat(output.sent).anyMatch(sent -> sent.machine().equals(older) && sent.message() instanceof Goodbye);
    }

    @Test
    void anotherHistoryIsNotTaken() {
        history.addMany(3);
        disk.held = Disk.found(history.current());
        start();
        run(SECOND);
        String machine = lastAsked();
        ConfigurationVersion other = new ConfigurationVersion(7, 2);
        follower.received(
                machine, new Welcome(session(), new ConfigurationHead(other, ConfigurationDigest.EMPTY, true)), now);
        assertThat(follower.status().machine()).isEmpty();
        assertThat(output.lines).hasSize(1).allMatch(line -> line.contains("another history"));
        follow(true);
        hear(new Heartbeat(
                session(), new ConfigurationHead(history.current().version(), ConfigurationDigest.EMPTY, true)));
        assertThat(follower.status().machine()).isEmpty();
        assertThat(follower.inForce()).isEqualTo(history.current());
    }

    @Test
    void aChangeThatDoesNotLeadToItsDigestIsFetchedWhole() {
        start();
        follow(true);
        AgreedChange good = history.add("a", "1");
        hear(new Deltas(
                session(), List.of(new AgreedChange(good.version(), good.change(), new ConfigurationDigest(1, 2)))));
        assertThat(output.states).isEmpty();
        assertThat(output.last().message()).isEqualTo(new SnapshotRequest(session(), 1));
        sendSnapshot(history.current(), 10);
        assertThat(follower.inForce()).isEqualTo(history.current());
    }

    @Test
    void aHeartbeatThatTellsOfALaterVersionTwiceIsActedOn() {
        start();
        follow(true);
        history.addMany(2);
        heartbeat(true);
        assertThat(output.messages(RepairRequest.class)).isEmpty();
        run(2 * SECOND);
        heartbeat(true);
        assertThat(output.messages(RepairRequest.class)).hasSize(1);
    }

    @Test
    void aRelayThatIsFarBehindFetchesASnapshotInParts() {
        start();
        follow(true);
        history.addMany(20);
        hear(new SnapshotOffer(session(), history.current().version(), 1));
        assertThat(output.last().message()).isEqualTo(new SnapshotRequest(session(), 1));
        sendSnapshot(history.current(), 20);
        assertThat(follower.inForce()).isEqualTo(history.current());
        assertThat(output.messages(ChunkRequest.class).size()).isGreaterThan(3);
        assertThat(output.states).hasSize(1);
    }

    @Test
    void partsThatAreLostAreAskedForAgainAndNotForEver() {
        start();
        follow(true);
        history.addMany(20);
        byte[] bytes = codec.encode(history.current());
        hear(new SnapshotChunk(session(), history.current().version(), 1, bytes.length, 0, Arrays.copyOf(bytes, 50)));
        for (int i = 0; i < 60; i++) {
            run(SECOND);
            hear(new Heartbeat(
                    session(), new ConfigurationHead(ConfigurationVersion.NONE, ConfigurationDigest.EMPTY, true)));
        }
        assertThat(output.messages(ChunkRequest.class).size()).isBetween(5, 12);
    }

    @Test
    void aSnapshotOfSixtyMegabytesIsRefusedAtItsFirstPart() {
        start();
        follow(true);
        history.addMany(1);
        hear(new SnapshotChunk(session(), history.current().version(), 1, 60 << 20, 0, new byte[1_000]));
        assertThat(output.lines).hasSize(1).allMatch(line -> line.contains("CONFIGURATION_TOO_LARGE"));
        assertThat(output.messages(ChunkRequest.class)).isEmpty();
        assertThat(((Report) output.last().message()).refused()).contains(ChangeRefusal.Reason.CONFIGURATION_TOO_LARGE);
    }

    @Test
    void aFormatFromTheFutureIsRefusedAndARollBackTaken() {
        start();
        follow(true);
        history.add("a", "1");
        deltas(0, 1);
        history.add(2, 1, Map.of("a", "in a new way"));
        deltas(1, 2);
        assertThat(follower.status().refusal().map(ChangeRefusal::reason))
                .contains(ChangeRefusal.Reason.UNKNOWN_FORMAT);
        assertThat(follower.inForce()).isEqualTo(history.states.get(1));
        assertThat(output.lines).hasSize(1);
        // not asked for again while nothing later is there
        runHearing(history.head(true), 10 * SECOND);
        assertThat(output.messages(SnapshotRequest.class)).isEmpty();
        history.add("a", "1");
        deltas(2, 3);
        assertThat(output.last().message()).isEqualTo(new SnapshotRequest(session(), 3));
        sendSnapshot(history.current(), 1_000);
        assertThat(follower.inForce()).isEqualTo(history.current());
        assertThat(follower.status().refusal()).isEmpty();
    }

    @Test
    void whatTheProgramCannotUseStaysOut() {
        check = state -> "bad".equals(state.entries().get("a")) ? Optional.of("a is bad") : Optional.empty();
        start();
        follow(true);
        history.add("a", "1");
        history.add("a", "bad");
        deltas(0, 2);
        assertThat(follower.inForce()).isEqualTo(history.states.get(1));
        assertThat(((Report) output.last().message()).refused()).contains(ChangeRefusal.Reason.UNUSABLE);
    }

    /** A relay that cannot use what all others can does not fetch it again and again. */
    @Test
    void refusedStatesAreFetchedLessAndLessOften() {
        check = state -> state.entries().containsKey("bad") ? Optional.of("bad is there") : Optional.empty();
        start();
        follow(true);
        history.add("bad", "1");
        deltas(0, 1);
        int answered = 0;
        for (int i = 0; i < 300; i++) {
            run(SECOND);
            history.add("other", "" + i);
            deltas(i + 1, i + 2);
            heartbeat(true);
            if (output.messages(SnapshotRequest.class).size() > answered) {
                answered = output.messages(SnapshotRequest.class).size();
                sendSnapshot(history.current(), 10_000);
            }
        }
        assertThat(output.messages(SnapshotRequest.class).size()).isBetween(3, 12);
    }

    @Test
    void aDamagedDiskIsRefusedAndFetchedAnew() {
        history.addMany(2);
        ConfigurationSnapshot good = history.current();
        Map<String, String> damaged = new HashMap<>(good.entries());
        damaged.put("key-0", "damaged");
        disk.held = new ConfigurationStore.Loaded.Found(good.version(), 1, damaged, good.digest());
        start();
        assertThat(output.states).isEmpty();
        assertThat(output.lines).hasSize(1).allMatch(line -> line.contains("does not match its digest"));
        follow(true);
        assertThat(lastHello().inForce()).isEqualTo(ConfigurationVersion.NONE);
        deltas(0, 2);
        assertThat(disk.held).isEqualTo(Disk.found(good));
    }

    @Test
    void aDiskThatIsFullKeepsNothingFromBeingInForce() {
        start();
        follow(true);
        disk.fails = true;
        history.addMany(5);
        deltas(0, 5);
        assertThat(follower.inForce()).isEqualTo(history.current());
        assertThat(output.lines).hasSize(1).allMatch(line -> line.contains("no space"));
    }

    @Test
    void theRegionsOwnMachinesAreAskedFirst() {
        start();
        List<String> asked = new ArrayList<>();
        while (asked.size() < 3) {
            int before = output.messages(Hello.class).size();
            run(TURN);
            if (output.messages(Hello.class).size() > before) {
                asked.add(lastAsked());
                follower.received(lastAsked(), new Rejected(session(), RejectionReason.FULL), now);
            }
        }
        assertThat(asked.subList(0, 2)).containsExactlyInAnyOrder("north-1", "north-2");
        assertThat(asked.get(2)).isEqualTo("south-1");
    }

    @Test
    void aSilentMachineIsLeftAndWhatIsInForceStays() {
        history.addMany(1);
        start();
        follow(true);
        deltas(0, 1);
        String first = follower.status().machine().orElseThrow();
        run(7 * SECOND);
        assertThat(follower.status().machine()).isEmpty();
        run(2 * SECOND);
        assertThat(lastAsked()).isNotEqualTo(first);
        assertThat(follower.inForce()).isEqualTo(history.current());
    }

    /** A relay that itself stood still blames nobody. */
    @Test
    void aPauseDoesNotCostTheSession() {
        start();
        follow(true);
        now += 30 * SECOND;
        follower.turn(now);
        assertThat(follower.status().machine()).isPresent();
        assertThat(output.last().message()).isInstanceOf(Report.class);
    }

    @Test
    void whileNoMachineHasAQuorumTheSessionIsKept() {
        start();
        follow(false);
        String first = follower.status().machine().orElseThrow();
        for (int i = 0; i < 60; i++) {
            run(SECOND);
            long attempt = session();
            if (!lastAsked().equals(first)) {
                follower.received(lastAsked(), new Welcome(attempt, history.head(false)), now);
            }
            follower.received(
                    first, new Heartbeat(output.messages(Hello.class).get(0).session(), history.head(false)), now);
        }
        assertThat(follower.status().machine()).contains(first);
        assertThat(output.messages(Hello.class).size()).isBetween(8, 30);
    }

    /** DESIGN's mechanism: those who fail together come back over 2^n slots, whole intervals apart. */
    @Test
    void attemptsSpreadOverGrowingIntervals() {
        FollowerSettings settings = FollowerSettings.DEFAULT;
        long slot = settings.slot();
        List<Long> second = new ArrayList<>();
        for (int relay = 0; relay < 2_000; relay++) {
            ReconnectBackOff backOff =
                    new ReconnectBackOff(slot, settings.mostDoublings(), new SplittableRandom(relay), 0);
            long first = backOff.first(0);
            assertThat(first).isBetween(0L, slot - 1);
            long next = backOff.next(first);
            assertThat(next).isBetween(slot, 3 * slot - 1);
            second.add(next);
            long after = backOff.next(next);
            assertThat(after).isBetween(3 * slot, 7 * slot - 1);
        }
        long early = second.stream().filter(at -> at < 2 * slot).count();
        assertThat(early).isBetween(900L, 1_100L);
    }
}
