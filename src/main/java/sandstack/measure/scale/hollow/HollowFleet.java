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
import sandstack.measure.scale.SimulatedClock;

/**
 * Many hollow relays on one simulated clock. Each relay runs the real {@link Membership}, which processes every probe,
 * answer and state that reaches it. Views, which cost most, are computed only for a few observed relays, because they
 * do not affect what a relay sends. Relays share states in memory, so {@link MembershipCost} measures the heap instead.
 *
 * <p>Deterministic for a seed. Not thread-safe; {@link #formFullMembership} uses the common pool.
 */
final class HollowFleet {
    /** Time after which a probe without an answer fails. */
    static final long PROBE_TIMEOUT_MICROS = 400_000;
    /** Interval at which an observed relay computes its view. */
    static final long VIEW_INTERVAL_MICROS = 200_000;

    private static final int OBSERVED_RELAYS = 8;
    private static final long START_MICROS = 1_000_000;

    private final FleetLayout layout;
    private final WireSizes wireSizes;
    private final SimulatedClock clock = new SimulatedClock(START_MICROS);
    private final HollowNetwork network = new HollowNetwork();
    private final FleetTraffic traffic = new FleetTraffic();
    private final SplittableRandom random;
    private final List<HollowRelay> relays = new ArrayList<>();
    private final Map<String, HollowRelay> byId = new HashMap<>();
    private final GossipModel gossip = new GossipModel(clock, network, traffic, relays);
    private final SwimProtocolModel protocol;
    private final Map<HollowRelay, Membership.View> views = new HashMap<>();
    private final ThreadCpuTime membershipCpuTime = new ThreadCpuTime();
    private final ThreadCpuTime viewCpuTime = new ThreadCpuTime();

    /**
     * Creates relays that are not started yet and whose memberships contain no other relay.
     *
     * @param size initial number of relays
     * @param joiningRelays number of relays that may join later
     */
    HollowFleet(int size, int joiningRelays, long seed) {
        layout = new FleetLayout(size + joiningRelays);
        wireSizes = layout.wireSizes();
        random = new SplittableRandom(seed);
        protocol = new SwimProtocolModel(
                clock, network, traffic, wireSizes, relays, gossip, random.split(), new SwimProtocolModel.Listener() {
                    @Override
                    public void memberAdded(HollowRelay at, HollowRelay member) {
                        timed(() -> at.membership().memberAdded(member.incarnation(), clock.nowMicros()));
                    }

                    @Override
                    public void memberRemoved(HollowRelay at, HollowRelay member) {
                        timed(() -> at.membership()
                                .memberRemoved(member.incarnation().id(), clock.nowMicros()));
                    }
                });
        IntStream.range(0, size).forEach(i -> add());
    }

    private HollowRelay add() {
        HollowRelay relay = new HollowRelay(relays.size(), layout, layout.size(), clock.nowMicros(), random);
        relays.add(relay);
        byId.put(relay.incarnation().id(), relay);
        network.add();
        return relay;
    }

    private void timed(Runnable work) {
        membershipCpuTime.run(work);
    }

    /**
     * Adds each relay to the memberships of all others, delivers all states to all of them and starts the relays, so
     * that the fleet is as if it had been stable for a long time.
     */
    void formFullMembership() {
        long atMicros = clock.nowMicros();
        relays.parallelStream()
                .forEach(relay -> relays.forEach(other -> {
                    if (other != relay) {
                        relay.addMember(other.index());
                        relay.membership().memberAdded(other.incarnation(), atMicros);
                    }
                }));
        relays.parallelStream()
                .forEach(relay -> relays.forEach(other -> {
                    if (other != relay) {
                        relay.membership().probeAnswered(other.incarnation(), answer(other, null), atMicros);
                    }
                }));
        List<MemberState> states =
                relays.stream().map(relay -> state(relay, atMicros)).toList();
        relays.parallelStream()
                .forEach(relay -> relays.forEach(other -> relay.membership()
                        .stateReceived(other.incarnation().id(), states.get(other.index()), atMicros)));
        relays.forEach(this::start);
        // the states are already delivered; marks them as gossiped
        relays.forEach(relay -> relay.membership().stateToGossip(atMicros));
    }

    private static ProbeResponse answer(HollowRelay relay, MemberState state) {
        return new ProbeResponse(
                FleetMessages.PROTOCOL_VERSION,
                relay.incarnation().id(),
                relay.incarnation().name(),
                state,
                true);
    }

    /**
     * Obtains a relay's state by a probe; its known version, -1, is older than any, so that the answer contains the
     * state.
     */
    private static MemberState state(HollowRelay relay, long atMicros) {
        return relay.membership()
                .handleProbe(new ProbeRequest(FleetMessages.PROTOCOL_VERSION, "nobody", "nobody", -1, false), atMicros)
                .state();
    }

    private void start(HollowRelay relay) {
        scheduleTurns(relay);
        protocol.start(relay);
    }

    private void scheduleTurns(HollowRelay relay) {
        clock.scheduleRepeatedly(random.nextLong(Membership.TICK_MICROS), Membership.TICK_MICROS, () -> runTurn(relay));
        int step = Math.max(1, relays.size() / OBSERVED_RELAYS);
        if (relay.index() % step == 0) {
            clock.scheduleRepeatedly(
                    random.nextLong(VIEW_INTERVAL_MICROS), VIEW_INTERVAL_MICROS, () -> updateView(relay));
        }
    }

    private void runTurn(HollowRelay relay) {
        if (!network.isUp(relay.index())) {
            return;
        }
        List<Incarnation> probeTargets = new ArrayList<>();
        timed(() -> probeTargets.addAll(relay.membership().tick(clock.nowMicros())));
        probeTargets.forEach(incarnation -> sendProbe(relay, byId.get(incarnation.id())));
        MemberState state = relay.membership().stateToGossip(clock.nowMicros());
        if (state != null) {
            gossipState(relay, state);
        }
    }

    private void gossipState(HollowRelay relay, MemberState state) {
        String id = relay.incarnation().id();
        int bytes = wireSizes.stateGossip(
                WireSizes.jsonBytes(new StateGossip(FleetMessages.PROTOCOL_VERSION, id, state, relay.incarnation())));
        gossip.spread(
                relay.index(),
                MessageKind.STATE_GOSSIP,
                bytes,
                receiver -> timed(() -> {
                    relays.get(receiver).membership().memberDiscovered(id, relay.incarnation(), clock.nowMicros());
                    relays.get(receiver).membership().stateReceived(id, state, clock.nowMicros());
                }));
    }

    private void sendProbe(HollowRelay from, HollowRelay to) {
        ProbeRequest request = from.membership().probeRequest(to.incarnation());
        if (!network.canReach(from.index(), to.index())) {
            clock.schedule(PROBE_TIMEOUT_MICROS, () -> onProbeTimedOut(from, to));
            return;
        }
        traffic.record(MessageKind.PROBE, 1, wireSizes.probe(WireSizes.jsonBytes(request)));
        clock.schedule(network.delayMicros(from.index(), to.index()), () -> {
            if (!network.canReach(from.index(), to.index())) {
                clock.schedule(
                        PROBE_TIMEOUT_MICROS - network.delayMicros(from.index(), to.index()),
                        () -> onProbeTimedOut(from, to));
                return;
            }
            ProbeResponse response = to.membership().handleProbe(request, clock.nowMicros());
            traffic.record(MessageKind.PROBE_ANSWER, 1, wireSizes.probeAnswer(WireSizes.jsonBytes(response)));
            clock.schedule(network.delayMicros(to.index(), from.index()), () -> onProbeAnswered(from, to, response));
        });
    }

    private void onProbeAnswered(HollowRelay from, HollowRelay to, ProbeResponse response) {
        if (network.isUp(from.index())) {
            timed(() -> from.membership().probeAnswered(to.incarnation(), response, clock.nowMicros()));
        }
    }

    private void onProbeTimedOut(HollowRelay from, HollowRelay to) {
        if (network.isUp(from.index())) {
            timed(() -> from.membership().probeTimedOut(to.incarnation()));
        }
    }

    private void updateView(HollowRelay relay) {
        if (network.isUp(relay.index())) {
            viewCpuTime.run(() -> views.put(relay, relay.membership().view(clock.nowMicros())));
        }
    }

    /** Starts one more relay, which joins through the seed members. */
    HollowRelay join() {
        HollowRelay relay = add();
        protocol.join(relay);
        scheduleTurns(relay);
        return relay;
    }

    /** Stops a relay without a leave message. */
    void kill(HollowRelay relay) {
        network.stop(relay.index());
        views.remove(relay);
    }

    /** Partitions the regions, or heals the partition. */
    void setPartitioned(boolean partitioned) {
        network.setPartitioned(partitioned);
    }

    /** Advances the simulated time by {@code micros} and runs the events that become due. */
    void advance(long micros) {
        clock.advance(micros);
    }

    /**
     * Advances until a condition holds for the views of all observed relays.
     *
     * @param isOverdue checked between steps of simulated time; true aborts
     * @return the simulated time until then, in microseconds; -1 after the timeout or an abort
     */
    long advanceUntil(Predicate<Membership.View> condition, long timeoutMicros, BooleanSupplier isOverdue) {
        long startMicros = clock.nowMicros();
        while (clock.nowMicros() - startMicros < timeoutMicros && !isOverdue.getAsBoolean()) {
            clock.advance(VIEW_INTERVAL_MICROS / 2);
            if (views.values().stream().allMatch(condition)) {
                return clock.nowMicros() - startMicros;
            }
        }
        return -1;
    }

    /** Computes the views of all observed relays. */
    void updateAllViews() {
        List.copyOf(views.keySet()).forEach(this::updateView);
    }

    List<HollowRelay> relays() {
        return List.copyOf(relays);
    }

    /** The region of the relay with this id. */
    int region(String id) {
        return FleetLayout.region(byId.get(id).index());
    }

    FleetTraffic traffic() {
        return traffic;
    }

    long nowMicros() {
        return clock.nowMicros();
    }

    /**
     * Processor time of all memberships in turns, on results of probes, on received states and on changes of the gossip
     * library's members. Excludes views, and creating and answering probes.
     */
    ThreadCpuTime membershipCpuTime() {
        return membershipCpuTime;
    }

    /** Processor time of computing the views of the observed relays. */
    ThreadCpuTime viewCpuTime() {
        return viewCpuTime;
    }

    /** The largest number of reports, each a pair of a member and its reporter, in the view of an observed relay. */
    long maxReportsInView() {
        return views.values().stream()
                .mapToLong(view -> view.rows().stream()
                        .mapToLong(MemberTable.Row::reporterCount)
                        .sum())
                .max()
                .orElse(0);
    }
}
