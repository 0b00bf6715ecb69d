package sandstack.measure.scale.hollow;

import java.util.ArrayList;
import java.util.List;

/**
 * The network between hollow relays: which relays are running, latencies, and partitions of the regions. O(1) per call;
 * not thread-safe.
 */
final class HollowNetwork {
    /** One-way latency between relays of the same region. */
    static final long SAME_REGION_MICROS = 500;

    /** One-way latency between relays of different regions. */
    static final long OTHER_REGION_MICROS = 15_000;

    private final List<Boolean> up = new ArrayList<>();
    private boolean regionsPartitioned;

    int size() {
        return up.size();
    }

    /** Adds a running relay. */
    void add() {
        up.add(true);
    }

    void stop(int relay) {
        up.set(relay, false);
    }

    boolean isUp(int relay) {
        return relay < up.size() && up.get(relay);
    }

    void setPartitioned(boolean partitioned) {
        regionsPartitioned = partitioned;
    }

    /** Whether two relays can exchange messages now. */
    boolean canReach(int from, int to) {
        return isUp(from) && isUp(to) && (!regionsPartitioned || FleetLayout.region(from) == FleetLayout.region(to));
    }

    long delayMicros(int from, int to) {
        return FleetLayout.region(from) == FleetLayout.region(to) ? SAME_REGION_MICROS : OTHER_REGION_MICROS;
    }
}
