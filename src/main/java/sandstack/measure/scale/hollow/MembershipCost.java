package sandstack.measure.scale.hollow;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import sandstack.fleet.FleetMessages;
import sandstack.fleet.FleetMessages.MemberState;
import sandstack.fleet.FleetMessages.ProbeRequest;
import sandstack.fleet.FleetMessages.ProbeResponse;
import sandstack.fleet.Incarnation;
import sandstack.fleet.Membership;

/**
 * Measures memory and processor time of one {@link Membership} in a fleet whose other members answer every probe. Their
 * states are decoded from JSON, so that they share no objects in memory. Not thread-safe.
 */
final class MembershipCost {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long START_MICROS = 1_000_000;
    private static final int TURNS_PER_VIEW = (int) (HollowFleet.VIEW_INTERVAL_MICROS / Membership.TICK_MICROS);
    private static final double TURNS_PER_SECOND = 1e6 / Membership.TICK_MICROS;
    private static final double VIEWS_PER_SECOND = 1e6 / HollowFleet.VIEW_INTERVAL_MICROS;
    private static final int WARM_UP_TURNS = 40;
    private static final int TIMED_TURNS = 60;
    /** Number of relays above which there is no warm-up and fewer timed turns, because the views are slow. */
    private static final int LARGE_FLEET = 400;

    private static final int TIMED_TURNS_LARGE = 12;

    /**
     * Costs of one relay.
     *
     * @param relays size of the fleet
     * @param heapBytes heap that the membership retains after garbage collection
     * @param joinSeconds processor time to add all other members
     * @param cpuMillisPerSecond processor time per second of turns, probes, answers and views
     * @param viewMillis processor time of one view
     * @param stateMillis processor time to apply one changed state
     */
    record Costs(
            int relays,
            double heapBytes,
            double joinSeconds,
            double cpuMillisPerSecond,
            double viewMillis,
            double stateMillis) {}

    private final int size;
    private final FleetLayout layout;
    private final List<Incarnation> incarnations;
    private final Membership membership;
    private final ThreadCpuTime joinTime = new ThreadCpuTime();
    private final ThreadCpuTime turnTime = new ThreadCpuTime();
    private final ThreadCpuTime viewTime = new ThreadCpuTime();
    private final ThreadCpuTime stateTime = new ThreadCpuTime();
    private long nowMicros = START_MICROS;

    private MembershipCost(int size) {
        this.size = size;
        this.layout = new FleetLayout(size);
        this.incarnations =
                IntStream.range(0, size).mapToObj(layout::incarnation).toList();
        this.membership = new Membership(incarnations.get(0), layout.relays(), nowMicros, new SplittableRandom(size));
    }

    /**
     * Measures a fleet of this size.
     *
     * @throws IllegalArgumentException if the membership does not support the size
     */
    static Costs measure(int size) {
        requireSupportedSize(size);
        long heapBytesBefore = usedHeap();
        MembershipCost cost = new MembershipCost(size);
        cost.join();
        cost.answerAllProbes();
        long heapBytes = usedHeap() - heapBytesBefore;
        int turns = size > LARGE_FLEET ? TIMED_TURNS_LARGE : TIMED_TURNS;
        cost.runTurns(size > LARGE_FLEET ? 0 : WARM_UP_TURNS);
        cost.turnTime.clear();
        cost.viewTime.clear();
        cost.runTurns(turns);
        cost.receiveStateChanges();
        return new Costs(
                size,
                heapBytes,
                cost.joinTime.millis() / 1e3,
                cost.turnTime.millisPerCall() * TURNS_PER_SECOND + cost.viewTime.millisPerCall() * VIEWS_PER_SECOND,
                cost.viewTime.millisPerCall(),
                cost.stateTime.millisPerCall());
    }

    /**
     * Throws before the slow join if a state cannot report all other members; the number of members in a state is
     * limited.
     */
    private static void requireSupportedSize(int size) {
        Set<String> others =
                IntStream.range(1, size).mapToObj(Integer::toString).collect(Collectors.toSet());
        new MemberState(1, Map.of(), others, Set.of());
    }

    private void join() {
        List<Incarnation> others = incarnations.subList(1, size);
        joinTime.run(() -> others.forEach(incarnation -> membership.memberAdded(incarnation, nowMicros)));
    }

    private void answerAllProbes() {
        Set<String> ids = incarnations.stream().map(Incarnation::id).collect(Collectors.toSet());
        for (Incarnation incarnation : incarnations.subList(1, size)) {
            membership.probeAnswered(incarnation, decoded(answer(incarnation, state(incarnation, ids, 1))), nowMicros);
        }
    }

    private MemberState state(Incarnation incarnation, Set<String> ids, long version) {
        Set<String> reached = new HashSet<>(ids);
        reached.remove(incarnation.id());
        return new MemberState(version, Map.of(), reached, Set.of());
    }

    private static ProbeResponse answer(Incarnation incarnation, MemberState state) {
        return new ProbeResponse(FleetMessages.PROTOCOL_VERSION, incarnation.id(), incarnation.name(), state, true);
    }

    private static ProbeResponse decoded(ProbeResponse answer) {
        try {
            return JSON.readValue(JSON.writeValueAsString(answer), ProbeResponse.class);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("an answer cannot be encoded as JSON", e);
        }
    }

    private void runTurns(int count) {
        for (int i = 0; i < count; i++) {
            nowMicros += Membership.TICK_MICROS;
            turnTime.run(this::runTurn);
            if (i % TURNS_PER_VIEW == 0) {
                viewTime.run(() -> membership.view(nowMicros));
            }
        }
    }

    /** Sends the due probes, handles their answers, and answers as many probes of others. */
    private void runTurn() {
        for (Incarnation incarnation : membership.tick(nowMicros)) {
            membership.probeRequest(incarnation);
            membership.probeAnswered(incarnation, answer(incarnation, null), nowMicros);
            membership.handleProbe(
                    new ProbeRequest(
                            FleetMessages.PROTOCOL_VERSION, incarnation.id(), incarnation.name(), Long.MAX_VALUE, true),
                    nowMicros);
        }
        membership.stateToGossip(nowMicros);
    }

    /** Applies changed states of at most {@link #WARM_UP_TURNS} members. */
    private void receiveStateChanges() {
        Set<String> ids = incarnations.stream().map(Incarnation::id).collect(Collectors.toSet());
        for (Incarnation incarnation : incarnations.subList(1, Math.min(size, WARM_UP_TURNS))) {
            MemberState state = state(incarnation, ids, 2);
            stateTime.run(() -> membership.stateReceived(incarnation.id(), state, nowMicros));
        }
    }

    private static long usedHeap() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
