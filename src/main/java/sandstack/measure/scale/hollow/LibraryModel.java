package sandstack.measure.scale.hollow;

import java.util.BitSet;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntConsumer;

/**
 * What the gossip library does beneath the membership, as messages that are counted: a ping every half second, three
 * others asked where it stays unanswered, suspicion by gossip, and the whole table exchanged with one other member every
 * two seconds. The intervals are those that the program sets. Not modelled: time of its threads and codec, connections,
 * lost packets.
 *
 * <p>One thread; O(1) a ping, O(members) a sync.
 */
final class LibraryModel {
    static final long PING_EVERY = 500_000;
    static final long PING_WITHIN = 300_000;
    static final int ASK_OTHERS = 3;
    static final int SUSPICION = 3;
    static final long SYNC_EVERY = 2_000_000;
    static final int SEEDS = 3;

    /** What the membership hears of it. */
    interface Listener {
        /** The library has this member. */
        void added(HollowRelay at, HollowRelay member);

        /** The library gave it up. */
        void removed(HollowRelay at, HollowRelay member);
    }

    private final EventQueue clock;
    private final Network network;
    private final Traffic traffic;
    private final WireSizes sizes;
    private final List<HollowRelay> relays;
    private final GossipModel gossip;
    private final SplittableRandom random;
    private final Listener listener;

    LibraryModel(
            EventQueue clock,
            Network network,
            Traffic traffic,
            WireSizes sizes,
            List<HollowRelay> relays,
            GossipModel gossip,
            SplittableRandom random,
            Listener listener) {
        this.clock = clock;
        this.network = network;
        this.traffic = traffic;
        this.sizes = sizes;
        this.relays = relays;
        this.gossip = gossip;
        this.random = random;
        this.listener = listener;
    }

    /** Begins a member's own pings and syncs, at moments that are drawn. */
    void start(HollowRelay relay) {
        clock.every(random.nextLong(PING_EVERY), PING_EVERY, () -> ping(relay));
        clock.every(random.nextLong(SYNC_EVERY), SYNC_EVERY, () -> sync(relay));
    }

    /** One that starts asks the seeds for their tables. */
    void join(HollowRelay relay) {
        for (int seed = 0; seed < Math.min(SEEDS, relays.size()); seed++) {
            exchange(relay, relays.get(seed));
        }
        start(relay);
    }

    private void ping(HollowRelay relay) {
        int target = nextKnown(relay);
        if (!network.up(relay.index()) || target < 0) {
            return;
        }
        traffic.sent(MessageKind.PING, 1, sizes.ping());
        if (network.passes(relay.index(), target)) {
            traffic.sent(MessageKind.PING_ACK, 1, sizes.pingAck());
            return;
        }
        clock.after(PING_WITHIN, () -> askOthers(relay, target));
    }

    private int nextKnown(HollowRelay relay) {
        for (int i = 0; i < relay.pingOrder().size(); i++) {
            int target = relay.pingOrder().next();
            if (relay.known().get(target)) {
                return target;
            }
        }
        return -1;
    }

    private void askOthers(HollowRelay relay, int target) {
        boolean answered = false;
        for (int k = 0; k < ASK_OTHERS; k++) {
            int helper = nextKnown(relay);
            if (helper < 0 || helper == target || !network.passes(relay.index(), helper)) {
                continue;
            }
            traffic.sent(MessageKind.PING_REQUEST, 1, sizes.pingRequest());
            traffic.sent(MessageKind.PING, 1, sizes.ping());
            if (network.passes(helper, target)) {
                traffic.sent(MessageKind.PING_ACK, 2, sizes.pingAck());
                answered = true;
            }
        }
        if (!answered) {
            clock.after(PING_EVERY - PING_WITHIN, () -> suspect(relay, target, true));
        }
    }

    private void suspect(HollowRelay relay, int target, boolean tells) {
        long suspicion = network.up(relay.index()) ? relay.suspect(target) : 0;
        if (suspicion == 0) {
            return;
        }
        long lasts = SUSPICION * GossipModel.ceilLog2(relays.size()) * PING_EVERY;
        clock.after(lasts, () -> {
            if (relay.stillSuspects(target, suspicion) && network.up(relay.index())) {
                giveUp(relay, target, true);
            }
        });
        if (tells) {
            gossip(relay.index(), at -> {
                if (at == target) {
                    refute(target);
                } else {
                    suspect(relays.get(at), target, false);
                }
            });
        }
    }

    /** A member that hears that it is suspected or given up says that it lives. */
    private void refute(int member) {
        gossip(member, at -> {
            relays.get(at).trust(member);
            learn(relays.get(at), member, false);
        });
    }

    private void giveUp(HollowRelay relay, int target, boolean tells) {
        if (!relay.forget(target)) {
            return;
        }
        listener.removed(relay, relays.get(target));
        if (tells) {
            gossip(relay.index(), at -> {
                if (at == target) {
                    refute(target);
                } else {
                    giveUp(relays.get(at), target, false);
                }
            });
        }
    }

    private void gossip(int from, IntConsumer heard) {
        gossip.spread(from, MessageKind.RECORD_GOSSIP, sizes.recordGossip(), heard);
    }

    private void sync(HollowRelay relay) {
        if (!network.up(relay.index())) {
            return;
        }
        int members = relay.known().cardinality();
        int place = random.nextInt(SEEDS + members);
        int target = place < SEEDS ? Math.min(place, relays.size() - 1) : nth(relay.known(), place - SEEDS);
        if (target != relay.index()) {
            exchange(relay, relays.get(target));
        }
    }

    private static int nth(BitSet set, int n) {
        return set.stream().skip(n).findFirst().orElseThrow();
    }

    /** The table there, and the other's back. */
    private void exchange(HollowRelay relay, HollowRelay other) {
        if (relay == other || !network.passes(relay.index(), other.index())) {
            return;
        }
        BitSet told = trusted(relay);
        traffic.sent(MessageKind.SYNC, 1, sizes.sync(relay.known().cardinality()));
        clock.after(network.delay(relay.index(), other.index()), () -> {
            told.stream().forEach(member -> learn(other, member, true));
            BitSet back = trusted(other);
            traffic.sent(MessageKind.SYNC_ACK, 1, sizes.syncAck(other.known().cardinality()));
            clock.after(network.delay(other.index(), relay.index()), () -> back.stream()
                    .forEach(member -> learn(relay, member, true)));
        });
    }

    private static BitSet trusted(HollowRelay relay) {
        BitSet told = (BitSet) relay.known().clone();
        relay.known().stream().filter(relay::suspects).forEach(told::clear);
        return told;
    }

    /** A record of a member that is not in the table yet: it is asked who it is, and then is in it. */
    private void learn(HollowRelay relay, int member, boolean tells) {
        if (relay.known().get(member) || !network.passes(relay.index(), member)) {
            return;
        }
        traffic.sent(MessageKind.METADATA_REQUEST, 1, sizes.metadataRequest());
        traffic.sent(MessageKind.METADATA_RESPONSE, 1, sizes.metadataResponse());
        clock.after(2 * network.delay(relay.index(), member), () -> {
            if (network.passes(relay.index(), member) && relay.learn(member)) {
                listener.added(relay, relays.get(member));
                if (tells) {
                    gossip(relay.index(), at -> learn(relays.get(at), member, false));
                }
            }
        });
    }
}
