package sandstack.measure.scale.hollow;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.function.IntConsumer;
import sandstack.measure.scale.SimulatedClock;

/**
 * Models infection-style dissemination as in the gossip library: in each period of {@link #PERIOD_MICROS} every
 * infected member forwards a gossip to {@link #FANOUT} others, except those from which it received it. A member does so
 * for {@code REPEAT_MULTIPLIER * ceilLog2(members)} periods after it was infected. The whole dissemination uses the
 * state of the network at the time of the call. Each message is counted.
 *
 * <p>O(members log members) per gossip; not thread-safe.
 */
final class GossipModel {
    static final long PERIOD_MICROS = 200_000;
    static final int FANOUT = 3;
    static final int REPEAT_MULTIPLIER = 3;

    private final SimulatedClock clock;
    private final HollowNetwork network;
    private final FleetTraffic traffic;
    private final List<HollowRelay> relays;

    GossipModel(SimulatedClock clock, HollowNetwork network, FleetTraffic traffic, List<HollowRelay> relays) {
        this.clock = clock;
        this.network = network;
        this.traffic = traffic;
        this.relays = relays;
    }

    /** The logarithm as the library computes it: the bit length of {@code members}. */
    static int ceilLog2(int members) {
        return Integer.SIZE - Integer.numberOfLeadingZeros(members);
    }

    /**
     * Disseminates a gossip; {@code onReceived} is called once for each other member that it reaches, at the simulated
     * time of arrival.
     */
    void spread(int origin, MessageKind kind, int bytes, IntConsumer onReceived) {
        traffic.record(kind, new Dissemination(onReceived).run(origin), bytes);
    }

    /** A member that has received the gossip. */
    private static final class Infection {
        private final int relay;
        private final long infectedInPeriod;
        private final BitSet receivedFrom = new BitSet();

        private Infection(int relay, long infectedInPeriod) {
            this.relay = relay;
            this.infectedInPeriod = infectedInPeriod;
        }
    }

    /** The dissemination of one gossip. */
    private final class Dissemination {
        private final IntConsumer onReceived;
        private final long startPeriod = clock.nowMicros() / PERIOD_MICROS;
        private final Infection[] byRelay = new Infection[relays.size()];
        private final List<Infection> infected = new ArrayList<>(relays.size());
        private long sent;

        private Dissemination(IntConsumer onReceived) {
            this.onReceived = onReceived;
        }

        /** Returns the number of messages. */
        private long run(int origin) {
            infect(origin, 0);
            int periodsToSpread = REPEAT_MULTIPLIER * ceilLog2(relays.size());
            for (long period = 0; period <= 2L * periodsToSpread; period++) {
                int senders = infected.size();
                for (int i = 0; i < senders; i++) {
                    Infection sender = infected.get(i);
                    if (period - sender.infectedInPeriod < periodsToSpread) {
                        send(sender, period);
                    }
                }
            }
            return sent;
        }

        private void send(Infection sender, long period) {
            PeerOrder order = relays.get(sender.relay).gossipOrder();
            for (int k = 0; k < Math.min(FANOUT, order.size()); k++) {
                int receiver = order.at(FANOUT * (startPeriod + period) + k);
                if (!network.canReach(sender.relay, receiver) || sender.receivedFrom.get(receiver)) {
                    continue;
                }
                sent++;
                if (byRelay[receiver] == null) {
                    infect(receiver, period + 1);
                    clock.schedule((period + 1) * PERIOD_MICROS, () -> deliver(receiver));
                }
                byRelay[receiver].receivedFrom.set(sender.relay);
            }
        }

        private void infect(int relay, long period) {
            byRelay[relay] = new Infection(relay, period);
            infected.add(byRelay[relay]);
        }

        private void deliver(int receiver) {
            if (network.isUp(receiver)) {
                onReceived.accept(receiver);
            }
        }
    }
}
