package sandstack.measure.scale.hollow;

import java.util.SplittableRandom;

/**
 * A random permutation of all other members, from which targets of pings and gossip are chosen in turn, as in the
 * gossip library.
 */
final class PeerOrder {
    private final int[] order;
    private int next;

    /** Shuffles all indices below {@code size} except {@code self}. */
    PeerOrder(int self, int size, SplittableRandom random) {
        order = new int[Math.max(0, size - 1)];
        for (int i = 0; i < order.length; i++) {
            int peer = i < self ? i : i + 1;
            int swapIndex = random.nextInt(i + 1);
            order[i] = order[swapIndex];
            order[swapIndex] = peer;
        }
    }

    int size() {
        return order.length;
    }

    /** The peer at an index, modulo the number of peers. */
    int at(long index) {
        return order[(int) (index % order.length)];
    }

    /** The next peer in turn; -1 without peers. */
    int next() {
        return order.length == 0 ? -1 : order[next++ % order.length];
    }
}
