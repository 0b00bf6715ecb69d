package sandstack.measure.scale.hollow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import sandstack.fleet.FleetMessages;
import sandstack.fleet.FleetMessages.MemberState;
import sandstack.fleet.FleetMessages.ProbeRequest;
import sandstack.fleet.FleetMessages.ProbeResponse;
import sandstack.fleet.FleetMessages.StateGossip;
import sandstack.fleet.Incarnation;
import sandstack.fleet.MemberTable;
import sandstack.fleet.Membership;

/**
 * Many hollow relays on one simulated clock. Every relay's membership is the program's own and takes every message; what
 * is shown of it, which costs most, is worked out for a few relays alone, as it changes nothing of what a relay sends.
 * States are shared between relays in memory, so their size is measured elsewhere ({@link MembershipCost}).
 *
 * <p>The same seed gives the same messages. One thread, but for {@link #meet}, which works on several.
 */
final class HollowFleet {
    /** An answer that has not come by then does not come. */
    static final long ANSWER_WITHIN = 400_000;
    /** How often a relay works out what it shows. */
    static final long VIEW_EVERY = 200_000;

    private static final int VIEWERS = 8;
    private static final long START = 1_000_000;

    private final FleetPlan plan;
    private final WireSizes sizes;
    private final EventQueue clock = new EventQueue(START);
    private final Network network = new Network();
    private final Traffic traffic = new Traffic();
    private final SplittableRandom random;
    private final List<HollowRelay> relays = new ArrayList<>();
    private final Map<String, HollowRelay> byId = new HashMap<>();
    private final GossipModel gossip = new GossipModel(clock, network, traffic, relays);
    private final LibraryModel library;
    private final Map<HollowRelay, Membership.View> views = new HashMap<>();
    private final ThreadTime membershipTime = new ThreadTime();
    private final ThreadTime viewTime = new ThreadTime();

    /**
     * Makes the fleet; nobody knows anybody yet.
     *
     * @param size relays at the start
     * @param spare how many may be added later
     */
    HollowFleet(int size, int spare, long seed) {
        plan = new FleetPlan(size + spare);
        sizes = plan.sizes();
        random = new SplittableRandom(seed);
        library = new LibraryModel(
                clock, network, traffic, sizes, relays, gossip, random.split(), new LibraryModel.Listener() {
                    @Override
                    public void added(HollowRelay at, HollowRelay member) {
                        timed(() -> at.membership().memberAdded(member.life(), clock.now()));
                    }

                    @Override
                    public void removed(HollowRelay at, HollowRelay member) {
                        timed(() -> at.membership().memberRemoved(member.life().id(), clock.now()));
                    }
                });
        IntStream.range(0, size).forEach(i -> add());
    }

    private HollowRelay add() {
        HollowRelay relay = new HollowRelay(relays.size(), plan, plan.size(), clock.now(), random);
        relays.add(relay);
        byId.put(relay.life().id(), relay);
        network.add();
        return relay;
    }

    private void timed(Runnable work) {
        membershipTime.run(work);
    }

    /** All meet at once, reach each other and hold each other's state, as after a long while without change. */
    void meet() {
        long now = clock.now();
        relays.parallelStream()
                .forEach(relay -> relays.forEach(other -> {
                    if (other != relay) {
                        relay.learn(other.index());
                        relay.membership().memberAdded(other.life(), now);
                    }
                }));
        relays.parallelStream()
                .forEach(relay -> relays.forEach(other -> {
                    if (other != relay) {
                        relay.membership().probeAnswered(other.life(), answer(other, null), now);
                    }
                }));
        List<MemberState> states =
                relays.stream().map(relay -> state(relay, now)).toList();
        relays.parallelStream()
                .forEach(relay -> relays.forEach(
                        other -> relay.membership().stateReceived(other.life().id(), states.get(other.index()), now)));
        relays.forEach(this::start);
        relays.forEach(relay -> relay.membership().stateToGossip(now));
    }

    private static ProbeResponse answer(HollowRelay relay, MemberState news) {
        return new ProbeResponse(
                FleetMessages.PROTOCOL_VERSION, relay.life().id(), relay.life().name(), news, true);
    }

    private static MemberState state(HollowRelay relay, long now) {
        return relay.membership()
                .handleProbe(new ProbeRequest(FleetMessages.PROTOCOL_VERSION, "nobody", "nobody", -1, false), now)
                .state();
    }

    private void start(HollowRelay relay) {
        begin(relay);
        library.start(relay);
    }

    private void begin(HollowRelay relay) {
        clock.every(random.nextLong(Membership.TICK_MICROS), Membership.TICK_MICROS, () -> turn(relay));
        int step = Math.max(1, relays.size() / VIEWERS);
        if (relay.index() % step == 0) {
            clock.every(random.nextLong(VIEW_EVERY), VIEW_EVERY, () -> show(relay));
        }
    }

    private void turn(HollowRelay relay) {
        if (!network.up(relay.index())) {
            return;
        }
        List<Incarnation> due = new ArrayList<>();
        timed(() -> due.addAll(relay.membership().tick(clock.now())));
        due.forEach(life -> probe(relay, byId.get(life.id())));
        MemberState news = relay.membership().stateToGossip(clock.now());
        if (news != null) {
            spread(relay, news);
        }
    }

    private void spread(HollowRelay relay, MemberState news) {
        String id = relay.life().id();
        int bytes = sizes.stateGossip(
                WireSizes.body(new StateGossip(FleetMessages.PROTOCOL_VERSION, id, news, relay.life())));
        gossip.spread(
                relay.index(),
                MessageKind.STATE_GOSSIP,
                bytes,
                at -> timed(() -> {
                    relays.get(at).membership().memberDiscovered(id, relay.life(), clock.now());
                    relays.get(at).membership().stateReceived(id, news, clock.now());
                }));
    }

    private void probe(HollowRelay from, HollowRelay to) {
        ProbeRequest question = from.membership().probeRequest(to.life());
        if (!network.passes(from.index(), to.index())) {
            clock.after(ANSWER_WITHIN, () -> missed(from, to));
            return;
        }
        traffic.sent(MessageKind.PROBE, 1, sizes.probe(WireSizes.body(question)));
        clock.after(network.delay(from.index(), to.index()), () -> {
            if (!network.passes(from.index(), to.index())) {
                clock.after(ANSWER_WITHIN - network.delay(from.index(), to.index()), () -> missed(from, to));
                return;
            }
            ProbeResponse answer = to.membership().handleProbe(question, clock.now());
            traffic.sent(MessageKind.PROBE_ANSWER, 1, sizes.probeAnswer(WireSizes.body(answer)));
            clock.after(network.delay(to.index(), from.index()), () -> answered(from, to, answer));
        });
    }

    private void answered(HollowRelay from, HollowRelay to, ProbeResponse answer) {
        if (network.up(from.index())) {
            timed(() -> from.membership().probeAnswered(to.life(), answer, clock.now()));
        }
    }

    private void missed(HollowRelay from, HollowRelay to) {
        if (network.up(from.index())) {
            timed(() -> from.membership().probeTimedOut(to.life()));
        }
    }

    private void show(HollowRelay relay) {
        if (network.up(relay.index())) {
            viewTime.run(() -> views.put(relay, relay.membership().view(clock.now())));
        }
    }

    /** One more relay starts, and asks the seeds; returns it. */
    HollowRelay join() {
        HollowRelay relay = add();
        library.join(relay);
        begin(relay);
        return relay;
    }

    /** A relay's process ends without a word. */
    void kill(HollowRelay relay) {
        network.stop(relay.index());
        views.remove(relay);
    }

    void regionsApart(boolean apart) {
        network.regionsApart(apart);
    }

    void advance(long micros) {
        clock.advance(micros);
    }

    /**
     * Goes on until this holds of all views that are looked at, but no longer than so long; returns the microseconds, or -1.
     *
     * @param heldUp whether more work is allowed; where it says no, nothing was found out
     */
    long until(Predicate<Membership.View> holds, long atMost, BooleanSupplier heldUp) {
        long began = clock.now();
        while (clock.now() - began < atMost && !heldUp.getAsBoolean()) {
            clock.advance(VIEW_EVERY / 2);
            if (views.values().stream().allMatch(holds)) {
                return clock.now() - began;
            }
        }
        return -1;
    }

    /** Makes all relays that are looked at show anew. */
    void showAll() {
        List.copyOf(views.keySet()).forEach(this::show);
    }

    List<HollowRelay> relays() {
        return List.copyOf(relays);
    }

    /** The region of the relay with this id. */
    int region(String id) {
        return FleetPlan.region(byId.get(id).index());
    }

    Traffic traffic() {
        return traffic;
    }

    long now() {
        return clock.now();
    }

    /** Thread time of all members' turns and messages. */
    ThreadTime membershipTime() {
        return membershipTime;
    }

    /** Thread time of the views that were worked out. */
    ThreadTime viewTime() {
        return viewTime;
    }

    /** Pairs of a member and one that reports about it, in one relay's view: what a view goes through. */
    long reportsInView() {
        return views.values().stream()
                .mapToLong(view -> view.rows().stream()
                        .mapToLong(MemberTable.Row::reporterCount)
                        .sum())
                .max()
                .orElse(0);
    }
}
