package sandstack.measure.scale.hollow;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import sandstack.fleet.Incarnation;
import sandstack.fleet.Membership;

/**
 * A hollow relay: the real {@link Membership} and the modelled state of the gossip library, without connections. Not
 * thread-safe.
 */
final class HollowRelay {
    private final int index;
    private final Incarnation incarnation;
    private final Membership membership;
    private final PeerOrder pingOrder;
    private final PeerOrder gossipOrder;
    /** Indices of the members in the library's membership table. */
    private final BitSet knownMembers = new BitSet();
    /** Ids of the current suspicions by the index of the suspected member. */
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

    /** Suspects a known member; returns the id of the suspicion, or 0 if the member is unknown or already suspected. */
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

    /** Adds a member to the library's table; returns whether it was absent. */
    boolean addMember(int member) {
        boolean added = !knownMembers.get(member);
        knownMembers.set(member);
        return added;
    }

    /** Removes a member from the library's table; returns whether it was present. */
    boolean removeMember(int member) {
        suspicionByMember.remove(member);
        boolean removed = knownMembers.get(member);
        knownMembers.clear(member);
        return removed;
    }
}
