package sandstack.net;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sandstack.core.DeadlineScheduler;
import sandstack.core.DeadlineScheduler.Deadline;
import sandstack.core.Rejection;

/**
 * Keeps the descriptors for those who are served. An accepted peer is a guest until it has asked for something
 * that can be served; then it is admitted, with a descriptor more for its way to a feed server. Whoever has had
 * its last word is only waited for. Where descriptors run short, those that are leaving go first, then the
 * guests that have been silent longest: peers that say nothing cannot crowd out clients that ask.
 */
public final class ConnectionAdmission {
    /** What a client hears for whom there is no room, or who has not asked in time. */
    public static final Rejection NO_ROOM = new Rejection(Rejection.Kind.REJECTED, 1000);
    /** Who connects has to ask by then; an error or a close is due after 3 s, whatever came in between. */
    private static final long ASK_WITHIN = 2_500_000;
    /** How long a peer that has had its last word may keep its end open. */
    private static final long LINGER = 2_000_000;
    /** The same for one that never asked. */
    private static final long LINGER_LATE = 400_000;
    /** Admitted clients take all but so many descriptors, or nobody could be told that there is no room. */
    private static final int LEAST_GUESTS = 8;

    private static final int ADMITTED_DESCRIPTORS = 2;

    /** What a front knows of one accepted peer. */
    public interface AcceptedPeer {
        /** There is no room: told in a word if there is one, and closed at once. */
        void turnAway();

        /**
         * It has not asked in time. Where that can be told in a word its end is waited for: closed over a request that
         * comes in this very moment, the connection would be reset and the word lost.
         */
        default void late() {
            turnAway();
        }

        /** Its socket is closed, whoever closed it. */
        default void gone() {}
    }

    /** A peer's guest and when its time runs out. */
    private record Stay(AcceptedPeer guest, Deadline until) {}

    private final DeadlineScheduler deadlines;
    private final EventLoop loop;
    private int most;
    private final Map<Peer, Stay> guests = new LinkedHashMap<>();
    private final Map<Peer, AcceptedPeer> admitted = new LinkedHashMap<>();
    private final Map<Peer, Stay> leaving = new LinkedHashMap<>();
    private boolean makingRoom;

    /**
     * Creates an admission without peers.
     *
     * @param most descriptors that sockets of clients and feed servers may take together
     */
    public ConnectionAdmission(EventLoop loop, DeadlineScheduler deadlines, int most) {
        this.loop = loop;
        this.deadlines = deadlines;
        this.most = most;
    }

    /** From now on they may take so many together; who is admitted stays. */
    public void setDescriptorLimit(int descriptors) {
        most = descriptors;
        makeRoom();
    }

    /** A peer has been accepted. It may be turned away before this returns. */
    public void enter(Peer peer, AcceptedPeer guest) {
        peer.watchedBy(this);
        guests.put(peer, new Stay(guest, deadlines.schedule(loop.nowMicros() + ASK_WITHIN, () -> late(peer))));
        makeRoom();
    }

    private void late(Peer peer) {
        // its line may have come while the relay was held up
        peer.readAvailable();
        Stay stay = guests.get(peer);
        if (stay != null) {
            stay.guest.late();
            if (leaving.containsKey(peer)) {
                linger(peer, takeOut(peer), LINGER_LATE);
            }
        }
    }

    private void linger(Peer peer, AcceptedPeer guest, long length) {
        leaving.put(peer, new Stay(guest, deadlines.schedule(loop.nowMicros() + length, peer::close)));
    }

    /** Nobody is waited for any more: whoever has not asked by now is told so. */
    public void stopWaitingForRequests() {
        List.copyOf(guests.keySet()).forEach(this::late);
    }

    /** The guest has asked for what can be served; false where there is no room for it and its feed server. */
    public boolean admit(Peer peer) {
        if (admitted.size() >= (most - LEAST_GUESTS) / ADMITTED_DESCRIPTORS) {
            return false;
        }
        Stay stay = guests.remove(peer);
        stay.until.cancel();
        admitted.put(peer, stay.guest);
        makeRoom();
        return true;
    }

    /** The last word has been said on this socket; it is closed when its peer has closed, or soon. */
    public void leave(Peer peer) {
        if (peer.isClosed() || leaving.containsKey(peer)) {
            return;
        }
        peer.watchedBy(this);
        linger(peer, takeOut(peer), LINGER);
    }

    /** Called once for each socket that was here. */
    void closed(Peer peer) {
        AcceptedPeer guest = takeOut(peer);
        if (guest != null) {
            guest.gone();
        }
    }

    /** Takes the peer from wherever it is; null for one that is no front's guest. */
    private AcceptedPeer takeOut(Peer peer) {
        Stay stay = guests.containsKey(peer) ? guests.remove(peer) : leaving.remove(peer);
        if (stay == null) {
            return admitted.remove(peer);
        }
        stay.until.cancel();
        return stay.guest;
    }

    /** Peers that have been accepted and not yet asked for anything. */
    public int peersWithoutRequest() {
        return guests.size();
    }

    /** Descriptors that sockets of clients and feed servers take now. */
    public int descriptorsInUse() {
        return guests.size() + leaving.size() + ADMITTED_DESCRIPTORS * admitted.size();
    }

    private void makeRoom() {
        if (makingRoom) {
            return;
        }
        makingRoom = true;
        while (descriptorsInUse() > most && !leaving.isEmpty()) {
            oldest(leaving).close();
        }
        while (descriptorsInUse() > most && !guests.isEmpty()) {
            Peer peer = oldest(guests);
            // in a crowd that comes at once, the oldest may be a client whose line has not been looked at yet
            peer.readAvailable();
            Stay stay = guests.get(peer);
            if (stay != null) {
                stay.guest.turnAway();
            }
        }
        makingRoom = false;
    }

    private static Peer oldest(Map<Peer, Stay> among) {
        return among.keySet().iterator().next();
    }
}
