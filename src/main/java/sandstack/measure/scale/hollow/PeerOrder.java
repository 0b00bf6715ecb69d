package sandstack.measure.scale.hollow;

import java.util.SplittableRandom;

/** A drawn order of all other members, gone through again and again, as the library chooses whom to ping and tell. */
final class PeerOrder {
    private final int[] order;
    private int next;

    /** Of all below {@code size} but {@code self}. */
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

    /** The peer at a place; places beyond the last begin again. */
    int at(long index) {
        return order[(int) (index % order.length)];
    }

    /** The next one that is asked. */
    int next() {
        return order.length == 0 ? -1 : order[next++ % order.length];
    }
}
