package sandstack.net;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sandstack.core.DeadlineScheduler;
import sandstack.core.DeadlineScheduler.Deadline;
import sandstack.core.Rejection;

/**
 * Admission control by file descriptors. An accepted peer is pending until it has sent a valid request; then it is
 * admitted, with one more descriptor for its connection to a feed server. A peer that has been answered lingers until
 * it closes. When descriptors run short, lingering peers are closed first, then the pending peers that have been silent
 * longest, so that idle connections cannot keep clients with requests out. Used on the loop's thread only.
 */
public final class ConnectionAdmission {
    /** The rejection of a client for which no descriptor is left, or whose request did not arrive in time. */
    public static final Rejection NO_CAPACITY = new Rejection(Rejection.Kind.REJECTED, 1000);
    /** How long a request may take to arrive; the platform expects an error or a close within 3 s. */
    private static final long REQUEST_TIMEOUT_MICROS = 2_500_000;
    /** How long an answered peer may keep its end open. */
    private static final long LINGER_MICROS = 2_000_000;
    /** The same for a peer that never sent a request. */
    private static final long LINGER_WITHOUT_REQUEST_MICROS = 400_000;
    /** Descriptors that admitted clients leave free, so that further clients can be rejected with an answer. */
    private static final int MIN_PENDING_PEERS = 8;

    /** One to the client and one to its feed server. */
    private static final int DESCRIPTORS_PER_ADMITTED = 2;

    /** A front's session of one accepted peer; called on the loop's thread. */
    public interface AcceptedPeer {
        /** No descriptor is left for it: answers with a rejection where the protocol has one, and closes at once. */
        void reject();

        /**
         * Its request did not arrive in time. A session that answers should then call {@link #closeAfterLinger}: a
         * close over unread input resets the connection, and the answer is lost.
         */
        default void onRequestTimeout() {
            reject();
        }

        /** Its socket has been closed by either side. */
        default void onClosed() {}
    }

    /** A peer's session and the timeout that ends its present state. */
    private record Entry(AcceptedPeer acceptedPeer, Deadline timeout) {}

    private final DeadlineScheduler deadlines;
    private final EventLoop loop;
    private int descriptorLimit;
    private final Map<Peer, Entry> pending = new LinkedHashMap<>();
    private final Map<Peer, AcceptedPeer> admitted = new LinkedHashMap<>();
    private final Map<Peer, Entry> lingering = new LinkedHashMap<>();
    private boolean freeingDescriptors;

    /**
     * Creates an admission without peers.
     *
     * @param descriptorLimit descriptors that sockets of clients and feed servers may take together
     */
    public ConnectionAdmission(EventLoop loop, DeadlineScheduler deadlines, int descriptorLimit) {
        this.loop = loop;
        this.deadlines = deadlines;
        this.descriptorLimit = descriptorLimit;
    }

    /** Changes the limit; admitted peers stay. */
    public void setDescriptorLimit(int newLimit) {
        descriptorLimit = newLimit;
        freeDescriptors();
    }

    /** A peer has been accepted. It may be rejected before this returns. */
    public void onAccepted(Peer peer, AcceptedPeer acceptedPeer) {
        peer.setAdmission(this);
        pending.put(
                peer,
                new Entry(
                        acceptedPeer,
                        deadlines.schedule(loop.nowMicros() + REQUEST_TIMEOUT_MICROS, () -> onRequestTimeout(peer))));
        freeDescriptors();
    }

    private void onRequestTimeout(Peer peer) {
        // its request may have arrived during a stall of the relay
        peer.readAvailable();
        Entry entry = pending.get(peer);
        if (entry != null) {
            entry.acceptedPeer.onRequestTimeout();
            if (lingering.containsKey(peer)) {
                linger(peer, remove(peer), LINGER_WITHOUT_REQUEST_MICROS);
            }
        }
    }

    private void linger(Peer peer, AcceptedPeer acceptedPeer, long lingerMicros) {
        lingering.put(peer, new Entry(acceptedPeer, deadlines.schedule(loop.nowMicros() + lingerMicros, peer::close)));
    }

    /** Ends the wait for requests: every pending peer times out now. */
    public void stopWaitingForRequests() {
        List.copyOf(pending.keySet()).forEach(this::onRequestTimeout);
    }

    /** The peer has sent a valid request; false if no descriptors are left for it and its feed server. */
    public boolean admit(Peer peer) {
        if (admitted.size() >= (descriptorLimit - MIN_PENDING_PEERS) / DESCRIPTORS_PER_ADMITTED) {
            return false;
        }
        Entry entry = pending.remove(peer);
        entry.timeout.cancel();
        admitted.put(peer, entry.acceptedPeer);
        freeDescriptors();
        return true;
    }

    /** The peer has been answered; it is closed when its end closes, or after the linger time. */
    public void closeAfterLinger(Peer peer) {
        if (peer.isClosed() || lingering.containsKey(peer)) {
            return;
        }
        peer.setAdmission(this);
        linger(peer, remove(peer), LINGER_MICROS);
    }

    /** Called by each socket once, when it is closed. */
    void onClosed(Peer peer) {
        AcceptedPeer acceptedPeer = remove(peer);
        if (acceptedPeer != null) {
            acceptedPeer.onClosed();
        }
    }

    /** Removes the peer from the state it is in; null for one that was not accepted by a front. */
    private AcceptedPeer remove(Peer peer) {
        Entry entry = pending.containsKey(peer) ? pending.remove(peer) : lingering.remove(peer);
        if (entry == null) {
            return admitted.remove(peer);
        }
        entry.timeout.cancel();
        return entry.acceptedPeer;
    }

    /** Peers that have been accepted and have not sent a request. */
    public int peersWithoutRequest() {
        return pending.size();
    }

    /** Descriptors that sockets of clients and feed servers use now. */
    public int descriptorsInUse() {
        return pending.size() + lingering.size() + DESCRIPTORS_PER_ADMITTED * admitted.size();
    }

    private void freeDescriptors() {
        if (freeingDescriptors) {
            return;
        }
        freeingDescriptors = true;
        while (descriptorsInUse() > descriptorLimit && !lingering.isEmpty()) {
            oldest(lingering).close();
        }
        while (descriptorsInUse() > descriptorLimit && !pending.isEmpty()) {
            Peer peer = oldest(pending);
            // in a burst of connections the oldest may be a client whose request has not been read yet
            peer.readAvailable();
            Entry entry = pending.get(peer);
            if (entry != null) {
                entry.acceptedPeer.reject();
            }
        }
        freeingDescriptors = false;
    }

    private static Peer oldest(Map<Peer, Entry> peers) {
        return peers.keySet().iterator().next();
    }
}
