package sandstack.measure.scale.hollow;

import java.util.BitSet;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntConsumer;
import sandstack.measure.scale.SimulatedClock;

/**
 * Models the messages of the gossip library (ScaleCube Cluster) beneath the membership. The library follows the SWIM
 * protocol (Das, Gupta and Motivala, 2002): a ping every half second, indirect pings through three other members, and
 * suspicions disseminated by gossip. It also syncs the full membership table with one member every two seconds. The
 * intervals are those that the program configures. Processor time, connections and lost packets are not modelled.
 *
 * <p>O(1) per ping, O(members) per sync; not thread-safe.
 */
final class SwimProtocolModel {
    static final long PING_INTERVAL_MICROS = 500_000;
    static final long PING_TIMEOUT_MICROS = 300_000;
    static final int PING_REQUEST_MEMBERS = 3;
    static final int SUSPICION_MULTIPLIER = 3;
    static final long SYNC_INTERVAL_MICROS = 2_000_000;
    static final int SEEDS = 3;

    /** Receives changes of a member's membership table. */
    interface Listener {
        /** Called after {@code member} was added to the table of {@code at}. */
        void memberAdded(HollowRelay at, HollowRelay member);

        /** Called after {@code member} was removed from the table of {@code at}. */
        void memberRemoved(HollowRelay at, HollowRelay member);
    }

    private final SimulatedClock clock;
    private final HollowNetwork network;
    private final FleetTraffic traffic;
    private final WireSizes wireSizes;
    private final List<HollowRelay> relays;
    private final GossipModel gossip;
    private final SplittableRandom random;
    private final Listener listener;

    SwimProtocolModel(
            SimulatedClock clock,
            HollowNetwork network,
            FleetTraffic traffic,
            WireSizes sizes,
            List<HollowRelay> relays,
            GossipModel gossip,
            SplittableRandom random,
            Listener listener) {
        this.clock = clock;
        this.network = network;
        this.traffic = traffic;
        this.wireSizes = sizes;
        this.relays = relays;
        this.gossip = gossip;
        this.random = random;
        this.listener = listener;
    }

    /** Schedules pings and syncs of a member, with random initial delays. */
    void start(HollowRelay relay) {
        clock.scheduleRepeatedly(random.nextLong(PING_INTERVAL_MICROS), PING_INTERVAL_MICROS, () -> ping(relay));
        clock.scheduleRepeatedly(random.nextLong(SYNC_INTERVAL_MICROS), SYNC_INTERVAL_MICROS, () -> sync(relay));
    }

    /** Syncs a new member with the seed members and starts it. */
    void join(HollowRelay relay) {
        for (int seed = 0; seed < Math.min(SEEDS, relays.size()); seed++) {
            syncWith(relay, relays.get(seed));
        }
        start(relay);
    }

    private void ping(HollowRelay relay) {
        int target = nextPingTarget(relay);
        if (!network.isUp(relay.index()) || target < 0) {
            return;
        }
        traffic.record(MessageKind.PING, 1, wireSizes.ping());
        if (network.canReach(relay.index(), target)) {
            traffic.record(MessageKind.PING_ACK, 1, wireSizes.pingAck());
            return;
        }
        clock.schedule(PING_TIMEOUT_MICROS, () -> requestPings(relay, target));
    }

    private int nextPingTarget(HollowRelay relay) {
        for (int i = 0; i < relay.pingOrder().size(); i++) {
            int target = relay.pingOrder().next();
            if (relay.knownMembers().get(target)) {
                return target;
            }
        }
        return -1;
    }

    private void requestPings(HollowRelay relay, int target) {
        boolean answered = false;
        for (int k = 0; k < PING_REQUEST_MEMBERS; k++) {
            int helper = nextPingTarget(relay);
            if (helper < 0 || helper == target || !network.canReach(relay.index(), helper)) {
                continue;
            }
            traffic.record(MessageKind.PING_REQUEST, 1, wireSizes.pingRequest());
            traffic.record(MessageKind.PING, 1, wireSizes.ping());
            if (network.canReach(helper, target)) {
                traffic.record(MessageKind.PING_ACK, 2, wireSizes.pingAck());
                answered = true;
            }
        }
        if (!answered) {
            clock.schedule(PING_INTERVAL_MICROS - PING_TIMEOUT_MICROS, () -> suspect(relay, target, true));
        }
    }

    private void suspect(HollowRelay relay, int target, boolean shouldGossip) {
        long suspicion = network.isUp(relay.index()) ? relay.suspect(target) : 0;
        if (suspicion == 0) {
            return;
        }
        long timeoutMicros = (long) SUSPICION_MULTIPLIER * GossipModel.ceilLog2(relays.size()) * PING_INTERVAL_MICROS;
        clock.schedule(timeoutMicros, () -> {
            if (relay.isCurrentSuspicion(target, suspicion) && network.isUp(relay.index())) {
                remove(relay, target, true);
            }
        });
        if (shouldGossip) {
            gossip(relay.index(), receiver -> {
                if (receiver == target) {
                    refute(target);
                } else {
                    suspect(relays.get(receiver), target, false);
                }
            });
        }
    }

    /** Disseminates that a suspected or removed member is alive. */
    private void refute(int member) {
        gossip(member, at -> {
            relays.get(at).clearSuspicion(member);
            add(relays.get(at), member, false);
        });
    }

    private void remove(HollowRelay relay, int target, boolean shouldGossip) {
        if (!relay.removeMember(target)) {
            return;
        }
        listener.memberRemoved(relay, relays.get(target));
        if (shouldGossip) {
            gossip(relay.index(), at -> {
                if (at == target) {
                    refute(target);
                } else {
                    remove(relays.get(at), target, false);
                }
            });
        }
    }

    private void gossip(int from, IntConsumer onReceived) {
        gossip.spread(from, MessageKind.RECORD_GOSSIP, wireSizes.recordGossip(), onReceived);
    }

    private void sync(HollowRelay relay) {
        if (!network.isUp(relay.index())) {
            return;
        }
        int members = relay.knownMembers().cardinality();
        int candidate = random.nextInt(SEEDS + members);
        int target = candidate < SEEDS
                ? Math.min(candidate, relays.size() - 1)
                : nthMember(relay.knownMembers(), candidate - SEEDS);
        if (target != relay.index()) {
            syncWith(relay, relays.get(target));
        }
    }

    private static int nthMember(BitSet set, int n) {
        return set.stream().skip(n).findFirst().orElseThrow();
    }

    /** Exchanges the membership tables of two members. */
    private void syncWith(HollowRelay relay, HollowRelay other) {
        if (relay == other || !network.canReach(relay.index(), other.index())) {
            return;
        }
        BitSet sent = unsuspectedMembers(relay);
        traffic.record(MessageKind.SYNC, 1, wireSizes.sync(relay.knownMembers().cardinality()));
        clock.schedule(network.delayMicros(relay.index(), other.index()), () -> {
            sent.stream().forEach(member -> add(other, member, true));
            BitSet returned = unsuspectedMembers(other);
            traffic.record(
                    MessageKind.SYNC_ACK,
                    1,
                    wireSizes.syncAck(other.knownMembers().cardinality()));
            clock.schedule(network.delayMicros(other.index(), relay.index()), () -> returned.stream()
                    .forEach(member -> add(relay, member, true)));
        });
    }

    private static BitSet unsuspectedMembers(HollowRelay relay) {
        BitSet unsuspected = (BitSet) relay.knownMembers().clone();
        relay.knownMembers().stream().filter(relay::isSuspected).forEach(unsuspected::clear);
        return unsuspected;
    }

    /** Adds an unknown member after fetching its metadata. */
    private void add(HollowRelay relay, int member, boolean shouldGossip) {
        if (relay.knownMembers().get(member) || !network.canReach(relay.index(), member)) {
            return;
        }
        traffic.record(MessageKind.METADATA_REQUEST, 1, wireSizes.metadataRequest());
        traffic.record(MessageKind.METADATA_RESPONSE, 1, wireSizes.metadataResponse());
        clock.schedule(2 * network.delayMicros(relay.index(), member), () -> {
            if (network.canReach(relay.index(), member) && relay.addMember(member)) {
                listener.memberAdded(relay, relays.get(member));
                if (shouldGossip) {
                    gossip(relay.index(), at -> add(relays.get(at), member, false));
                }
            }
        });
    }
}
