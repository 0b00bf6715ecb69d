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
 * What the membership costs one relay among so many: the program's own {@link Membership}, with peers that answer each of
 * its questions. States come through JSON, as on the wire, so that nothing in memory is shared. One thread.
 */
final class MembershipCost {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long START = 1_000_000;
    private static final int TURNS_A_VIEW = (int) (HollowFleet.VIEW_EVERY / Membership.TICK_MICROS);
    private static final double TURNS_A_SECOND = 1e6 / Membership.TICK_MICROS;
    private static final double VIEWS_A_SECOND = 1e6 / HollowFleet.VIEW_EVERY;
    /** Turns before anything is timed, and turns that are; the largest fleets pay for each view. */
    private static final int WARM_UP_TURNS = 40;

    private static final int TIMED_TURNS = 60;
    private static final int LARGE = 400;
    private static final int LARGE_TURNS = 12;

    /**
     * The figures, each of one relay.
     *
     * @param heapBytes what the membership keeps, after a collection
     * @param joinSeconds processor seconds to take all others for members, one after another
     * @param millisEachSecond processor time that turns, questions, answers and views take each second
     * @param viewMillis of one view
     * @param heardMillis to take one other's changed state
     */
    record Figures(
            int relays,
            double heapBytes,
            double joinSeconds,
            double millisEachSecond,
            double viewMillis,
            double heardMillis) {}

    private final int size;
    private final FleetPlan plan;
    private final List<Incarnation> lives;
    private final Membership membership;
    private final ThreadTime joining = new ThreadTime();
    private final ThreadTime turns = new ThreadTime();
    private final ThreadTime views = new ThreadTime();
    private final ThreadTime hearing = new ThreadTime();
    private long now = START;

    private MembershipCost(int size) {
        this.size = size;
        this.plan = new FleetPlan(size);
        this.lives = IntStream.range(0, size).mapToObj(plan::life).toList();
        this.membership = new Membership(lives.get(0), plan.relays(), now, new SplittableRandom(size));
    }

    /**
     * Measures at a size.
     *
     * @throws IllegalArgumentException where the membership refuses a fleet of this size
     */
    static Figures measure(int size) {
        refuseTooMany(size);
        long before = usedHeap();
        MembershipCost cost = new MembershipCost(size);
        cost.join();
        cost.answerAll();
        long kept = usedHeap() - before;
        int turns = size > LARGE ? LARGE_TURNS : TIMED_TURNS;
        cost.run(size > LARGE ? 0 : WARM_UP_TURNS);
        cost.turns.clear();
        cost.views.clear();
        cost.run(turns);
        cost.hearChanges();
        return new Figures(
                size,
                kept,
                cost.joining.millis() / 1e3,
                cost.turns.millisEach() * TURNS_A_SECOND + cost.views.millisEach() * VIEWS_A_SECOND,
                cost.views.millisEach(),
                cost.hearing.millisEach());
    }

    /** A state that names all others is refused above a size; known before the work of joining is done. */
    private static void refuseTooMany(int size) {
        Set<String> others =
                IntStream.range(1, size).mapToObj(Integer::toString).collect(Collectors.toSet());
        new MemberState(1, Map.of(), others, Set.of());
    }

    private void join() {
        List<Incarnation> others = lives.subList(1, size);
        joining.run(() -> others.forEach(life -> membership.memberAdded(life, now)));
    }

    private void answerAll() {
        Set<String> ids = lives.stream().map(Incarnation::id).collect(Collectors.toSet());
        for (Incarnation life : lives.subList(1, size)) {
            membership.probeAnswered(life, decoded(answer(life, state(life, ids, 1))), now);
        }
    }

    private MemberState state(Incarnation life, Set<String> ids, long number) {
        Set<String> reached = new HashSet<>(ids);
        reached.remove(life.id());
        return new MemberState(number, Map.of(), reached, Set.of());
    }

    private static ProbeResponse answer(Incarnation life, MemberState news) {
        return new ProbeResponse(FleetMessages.PROTOCOL_VERSION, life.id(), life.name(), news, true);
    }

    private static ProbeResponse decoded(ProbeResponse answer) {
        try {
            return JSON.readValue(JSON.writeValueAsString(answer), ProbeResponse.class);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("an answer that is no JSON", e);
        }
    }

    private void run(int count) {
        for (int i = 0; i < count; i++) {
            now += Membership.TICK_MICROS;
            turns.run(this::turn);
            if (i % TURNS_A_VIEW == 0) {
                views.run(() -> membership.view(now));
            }
        }
    }

    /** Asks who is due, hears the answers, and answers as many. */
    private void turn() {
        for (Incarnation life : membership.tick(now)) {
            membership.probeRequest(life);
            membership.probeAnswered(life, answer(life, null), now);
            membership.handleProbe(
                    new ProbeRequest(FleetMessages.PROTOCOL_VERSION, life.id(), life.name(), Long.MAX_VALUE, true),
                    now);
        }
        membership.stateToGossip(now);
    }

    /** A few others change their states. */
    private void hearChanges() {
        Set<String> ids = lives.stream().map(Incarnation::id).collect(Collectors.toSet());
        for (Incarnation life : lives.subList(1, Math.min(size, WARM_UP_TURNS))) {
            MemberState news = state(life, ids, 2);
            hearing.run(() -> membership.stateReceived(life.id(), news, now));
        }
    }

    private static long usedHeap() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
