package sandstack.measure.scale.hollow;

import java.util.ArrayList;
import java.util.List;

/**
 * The network between hollow relays: who is up, what passes, how long it takes. Regions can be cut apart, in both
 * directions. One thread; O(1) a call.
 */
final class Network {
    /** One way within a region, and between two, in microseconds. */
    static final long NEAR = 500;

    static final long FAR = 15_000;

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

    boolean up(int relay) {
        return relay < up.size() && up.get(relay);
    }

    void regionsApart(boolean apart) {
        regionsApart = apart;
    }

    /** Whether what the first sends reaches the second now, and comes back. */
    boolean passes(int from, int to) {
        return up(from) && up(to) && (!regionsApart || FleetPlan.region(from) == FleetPlan.region(to));
    }

    long delay(int from, int to) {
        return FleetPlan.region(from) == FleetPlan.region(to) ? NEAR : FAR;
    }
}
