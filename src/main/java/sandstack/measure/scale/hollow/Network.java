package sandstack.measure.scale.hollow;

import java.util.ArrayList;
import java.util.List;

/**
 * The network between hollow relays: who is up, what passes, how long it takes. Regions can be cut apart, in both
 * directions. One thread; O(1) a call.
 */
final class Network {
    /** One way within a region, and between two, in microseconds. */
    static final long SAME_REGION_MICROS = 500;

    static final long OTHER_REGION_MICROS = 15_000;

    private final List<Boolean> up = new ArrayList<>();
    private boolean regionsApart;

    int size() {
        return up.size();
    }

    /** One more relay, which is up. */
    void add() {
        up.add(true);
    }

    void stop(int relay) {
        up.set(relay, false);
    }

    boolean isUp(int relay) {
        return relay < up.size() && up.get(relay);
    }

    void setPartitioned(boolean apart) {
        regionsApart = apart;
    }

    /** Whether what the first sends reaches the second now, and comes back. */
    boolean canReach(int from, int to) {
        return isUp(from) && isUp(to) && (!regionsApart || FleetLayout.region(from) == FleetLayout.region(to));
    }

    long delayMicros(int from, int to) {
        return FleetLayout.region(from) == FleetLayout.region(to) ? SAME_REGION_MICROS : OTHER_REGION_MICROS;
    }
}
