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
    private final Incarnation incarnation;
    private final Membership membership;
    private final PeerOrder pingOrder;
    private final PeerOrder gossipOrder;
    /** Members in the library's table. */
    private final BitSet knownMembers = new BitSet();
    /** Members that it suspects, with the number of the suspicion. */
    private final Map<Integer, Long> suspicionByMember = new HashMap<>();

    private long lastSuspicion;

    HollowRelay(int index, FleetLayout layout, int fleetSize, long nowMicros, SplittableRandom random) {
        this.index = index;
        this.incarnation = layout.incarnation(index);
        this.membership = new Membership(incarnation, layout.relays(), nowMicros, random.split());
        this.pingOrder = new PeerOrder(index, fleetSize, random);
        this.gossipOrder = new PeerOrder(index, fleetSize, random);
        knownMembers.set(index);
    }

    int index() {
        return index;
    }

    Incarnation incarnation() {
        return incarnation;
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

    BitSet knownMembers() {
        return knownMembers;
    }

    /** Suspects a member that it holds; returns the number of the suspicion, or 0 where nothing is new. */
    long suspect(int member) {
        if (!knownMembers.get(member) || suspicionByMember.containsKey(member)) {
            return 0;
        }
        suspicionByMember.put(member, ++lastSuspicion);
        return lastSuspicion;
    }

    boolean isSuspected(int member) {
        return suspicionByMember.containsKey(member);
    }

    boolean isCurrentSuspicion(int member, long suspicion) {
        return Long.valueOf(suspicion).equals(suspicionByMember.get(member));
    }

    void clearSuspicion(int member) {
        suspicionByMember.remove(member);
    }

    /** The library's table has this member now; returns whether that is new. */
    boolean addMember(int member) {
        boolean added = !knownMembers.get(member);
        knownMembers.set(member);
        return added;
    }

    /** The library gives it up; returns whether it held it. */
    boolean removeMember(int member) {
        suspicionByMember.remove(member);
        boolean removed = knownMembers.get(member);
        knownMembers.clear(member);
        return removed;
    }
}
