package sandstack.measure.scale.hollow;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.function.IntConsumer;

/**
 * How the library's gossip spreads: every {@link #PERIOD_MICROS} each member that has a piece of news sends it on to
 * {@link #FANOUT} others, for {@link #REPEAT_MULTIPLIER} times the logarithm of the members periods, but not to those that sent it
 * to this one. Who is up and what passes is taken as it is when the news is told. Counts each message.
 *
 * <p>One thread; O(members log members) a piece of news.
 */
final class GossipModel {
    static final long PERIOD_MICROS = 200_000;
    static final int FANOUT = 3;
    static final int REPEAT_MULTIPLIER = 3;

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
        private final long infectedInPeriod;
        private final BitSet receivedFrom = new BitSet();

        private Infection(int relay, long since) {
            this.relay = relay;
            this.infectedInPeriod = since;
        }
    }

    /** Spreads news of this size from here; each other member that it reaches hears it once. */
    void spread(int origin, MessageKind kind, int bytes, IntConsumer onReceived) {
        int members = relays.size();
        int periodsToSpread = REPEAT_MULTIPLIER * ceilLog2(members);
        long startPeriod = clock.nowMicros() / PERIOD_MICROS;
        Infection[] byRelay = new Infection[members];
        List<Infection> infected = new ArrayList<>(members);
        byRelay[origin] = new Infection(origin, 0);
        infected.add(byRelay[origin]);
        long sent = 0;
        for (long period = 0; period <= 2L * periodsToSpread; period++) {
            int senders = infected.size();
            for (int i = 0; i < senders; i++) {
                Infection sender = infected.get(i);
                if (period - sender.infectedInPeriod >= periodsToSpread) {
                    continue;
                }
                PeerOrder order = relays.get(sender.relay).gossipOrder();
                for (int k = 0; k < Math.min(FANOUT, order.size()); k++) {
                    int receiver = order.at(FANOUT * (startPeriod + period) + k);
                    if (!network.canReach(sender.relay, receiver) || sender.receivedFrom.get(receiver)) {
                        continue;
                    }
                    sent++;
                    if (byRelay[receiver] == null) {
                        byRelay[receiver] = new Infection(receiver, period + 1);
                        infected.add(byRelay[receiver]);
                        clock.schedule((period + 1) * PERIOD_MICROS, () -> {
                            if (network.isUp(receiver)) {
                                onReceived.accept(receiver);
                            }
                        });
                    }
                    byRelay[receiver].receivedFrom.set(sender.relay);
                }
            }
        }
        traffic.record(kind, sent, bytes);
    }
}
