package sandstack.measure.scale.hollow;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.function.IntConsumer;

/**
 * How the library's gossip spreads: every {@link #PERIOD} each member that has a piece of news sends it on to
 * {@link #FANOUT} others, for {@link #REPEAT} times the logarithm of the members periods, but not to those that sent it
 * to this one. Who is up and what passes is taken as it is when the news is told. Counts each message.
 *
 * <p>One thread; O(members log members) a piece of news.
 */
final class GossipModel {
    static final long PERIOD = 200_000;
    static final int FANOUT = 3;
    static final int REPEAT = 3;

    private final EventQueue clock;
    private final Network network;
    private final Traffic traffic;
    private final List<HollowRelay> relays;

    GossipModel(EventQueue clock, Network network, Traffic traffic, List<HollowRelay> relays) {
        this.clock = clock;
        this.network = network;
        this.traffic = traffic;
        this.relays = relays;
    }

    /** The logarithm with which the library reckons. */
    static int ceilLog2(int members) {
        return Integer.SIZE - Integer.numberOfLeadingZeros(members);
    }

    /** One member's way through a piece of news. */
    private static final class Infection {
        private final int relay;
        private final long since;
        private final BitSet heardFrom = new BitSet();

        private Infection(int relay, long since) {
            this.relay = relay;
            this.since = since;
        }
    }

    /** Spreads news of this size from here; each other member that it reaches hears it once. */
    void spread(int origin, MessageKind kind, int bytes, IntConsumer heard) {
        int members = relays.size();
        int lasts = REPEAT * ceilLog2(members);
        long began = clock.now() / PERIOD;
        Infection[] byRelay = new Infection[members];
        List<Infection> infected = new ArrayList<>(members);
        byRelay[origin] = new Infection(origin, 0);
        infected.add(byRelay[origin]);
        long sent = 0;
        for (long period = 0; period <= 2L * lasts; period++) {
            int senders = infected.size();
            for (int i = 0; i < senders; i++) {
                Infection from = infected.get(i);
                if (period - from.since >= lasts) {
                    continue;
                }
                PeerOrder order = relays.get(from.relay).gossipOrder();
                for (int k = 0; k < Math.min(FANOUT, order.size()); k++) {
                    int to = order.at(FANOUT * (began + period) + k);
                    if (!network.passes(from.relay, to) || from.heardFrom.get(to)) {
                        continue;
                    }
                    sent++;
                    if (byRelay[to] == null) {
                        byRelay[to] = new Infection(to, period + 1);
                        infected.add(byRelay[to]);
                        clock.after((period + 1) * PERIOD, () -> {
                            if (network.up(to)) {
                                heard.accept(to);
                            }
                        });
                    }
                    byRelay[to].heardFrom.set(from.relay);
                }
            }
        }
        traffic.sent(kind, sent, bytes);
    }
}
