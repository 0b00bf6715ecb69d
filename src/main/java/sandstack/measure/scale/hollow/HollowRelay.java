package sandstack.measure.scale.hollow;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import sandstack.fleet.Incarnation;
import sandstack.fleet.Membership;

/** One relay without sockets: the program's membership, and what the library would keep for it. One thread. */
final class HollowRelay {
    private final int index;
    private final Incarnation life;
    private final Membership membership;
    private final PeerOrder pingOrder;
    private final PeerOrder gossipOrder;
    /** Members in the library's table. */
    private final BitSet known = new BitSet();
    /** Members that it suspects, with the number of the suspicion. */
    private final Map<Integer, Long> suspected = new HashMap<>();

    private long lastSuspicion;

    HollowRelay(int index, FleetPlan plan, int others, long now, SplittableRandom random) {
        this.index = index;
        this.life = plan.life(index);
        this.membership = new Membership(life, plan.relays(), now, random.split());
        this.pingOrder = new PeerOrder(index, others, random);
        this.gossipOrder = new PeerOrder(index, others, random);
        known.set(index);
    }

    int index() {
        return index;
    }

    Incarnation life() {
        return life;
    }

    Membership membership() {
        return membership;
    }

    PeerOrder pingOrder() {
        return pingOrder;
    }

    PeerOrder gossipOrder() {
        return gossipOrder;
    }

    BitSet known() {
        return known;
    }

    /** Suspects a member that it holds; returns the number of the suspicion, or 0 where nothing is new. */
    long suspect(int member) {
        if (!known.get(member) || suspected.containsKey(member)) {
            return 0;
        }
        suspected.put(member, ++lastSuspicion);
        return lastSuspicion;
    }

    boolean suspects(int member) {
        return suspected.containsKey(member);
    }

    boolean stillSuspects(int member, long suspicion) {
        return Long.valueOf(suspicion).equals(suspected.get(member));
    }

    void trust(int member) {
        suspected.remove(member);
    }

    /** The library's table has this member now; returns whether that is new. */
    boolean learn(int member) {
        boolean fresh = !known.get(member);
        known.set(member);
        return fresh;
    }

    /** The library gives it up; returns whether it held it. */
    boolean forget(int member) {
        suspected.remove(member);
        boolean held = known.get(member);
        known.clear(member);
        return held;
    }
}
