package sandstack.net;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Logger;
import java.util.stream.Stream;
import sandstack.core.DeadlineScheduler;
import sandstack.core.DeadlineScheduler.Deadline;
import sandstack.core.Rejection;

/**
 * Admission control by file descriptors and heap. An accepted peer is pending until it has sent a valid request; then
 * it is admitted and takes a second descriptor, for its connection to a feed server. A peer that has got its final
 * answer lingers until it closes the connection. When descriptors or heap run short, the oldest lingering peers are
 * closed first, then pending peers, so that idle connections cannot keep out clients that send requests: the oldest if
 * descriptors are short, those that hold the most if heap is. Used on the event loop's thread only.
 */
public final class ConnectionAdmission {
    /** The rejection of a client for which no descriptor is left, or whose request did not arrive in time. */
    public static final Rejection NO_CAPACITY = new Rejection(Rejection.Kind.REJECTED, 1000);
    /** How long a request may take to arrive; the platform requires an error or a close within 3 s. */
    private static final long REQUEST_TIMEOUT_MICROS = 2_500_000;
    /** How long an answered peer may keep its connection open. */
    private static final long LINGER_MICROS = 2_000_000;
    /** How long a peer that sent no request in time may keep its connection open after the answer. */
    private static final long LINGER_WITHOUT_REQUEST_MICROS = 400_000;
    /** Descriptors that admitted peers never use, so that further clients can be accepted and get a rejection. */
    private static final int MIN_PENDING_PEERS = 8;

    /** One for the client's socket and one for the feed server's. */
    private static final int DESCRIPTORS_PER_ADMITTED = 2;

    private static final Logger LOG = Logger.getLogger("sandstack.net");
    /** Minimum time between two log lines about closed peers. */
    private static final long LOG_INTERVAL_MICROS = 1_000_000;

    /** A front's session with one accepted peer; called on the event loop's thread. */
    public interface AcceptedPeer {
        /**
         * Called when no descriptor is left for this peer. Sends a rejection if the protocol has one, and closes
         * immediately.
         */
        void reject();

        /**
         * Called when the request did not arrive in time. A session that sends an answer should then call
         * {@link #closeAfterLinger}: closing a socket that has unread input resets the connection, and the answer may
         * be lost.
         */
        default void onRequestTimeout() {
            reject();
        }

        /**
         * Called at the end of a graceful shutdown, when the request has ended and the connection has not. A session
         * whose client still receives migrates it.
         */
        default void onShutdown() {}

        /** Called once when the relay closes the socket, for any reason. */
        default void onClosed() {}
    }

    /** A peer's session and the timeout of its current state. */
    private record Entry(AcceptedPeer acceptedPeer, Deadline timeout) {}

    private final DeadlineScheduler deadlines;
    private final EventLoop loop;
    private final HeapBudget heap;
    private int descriptorLimit;
    private final Map<Peer, Entry> pending = new LinkedHashMap<>();
    private final Map<Peer, AcceptedPeer> admitted = new LinkedHashMap<>();
    private final Map<Peer, Entry> lingering = new LinkedHashMap<>();
    private boolean freeingResources;
    /** The number of peers closed for want of heap since the last log line. */
    private int closedForHeap;

    private long nextHeapLogMicros;

    /**
     * Creates an admission control without peers.
     *
     * @param descriptorLimit maximum number of descriptors for the sockets of clients and feed servers together
     */
    public ConnectionAdmission(EventLoop loop, DeadlineScheduler deadlines, int descriptorLimit) {
        this.loop = loop;
        this.deadlines = deadlines;
        this.descriptorLimit = descriptorLimit;
        heap = loop.heapBudget();
        heap.setReclaim(this::freeResources);
    }

    /** Changes the limit. If it is exceeded, lingering and pending peers are closed; admitted peers stay. */
    public void setDescriptorLimit(int newLimit) {
        descriptorLimit = newLimit;
        freeResources();
    }

    /** Called when a front has accepted a peer, which may be rejected before this returns. */
    public void onAccepted(Peer peer, AcceptedPeer acceptedPeer) {
        peer.setAdmission(this);
        pending.put(
                peer,
                new Entry(
                        acceptedPeer,
                        deadlines.schedule(loop.nowMicros() + REQUEST_TIMEOUT_MICROS, () -> onRequestTimeout(peer))));
        addIdleHeap(peer, 1);
        freeResources();
    }

    /** Counts the heap of this number of sockets of the peer's protocol; negative if they are closed. */
    private void addIdleHeap(Peer peer, int sockets) {
        heap.add(sockets * peer.idleHeapBytes());
    }

    private void onRequestTimeout(Peer peer) {
        // the request may have arrived while the relay was stalled
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
        addIdleHeap(peer, 1);
    }

    /**
     * Called when no request is in flight at the end of a graceful shutdown: treats every pending peer as one whose
     * request did not arrive in time, and migrates admitted peers that still receive.
     */
    public void endRemaining() {
        List.copyOf(pending.keySet()).forEach(this::onRequestTimeout);
        List.copyOf(admitted.values()).forEach(AcceptedPeer::onShutdown);
    }

    /**
     * Called when a peer has sent a valid request; false if no descriptor or not enough heap is left for its connection
     * to a feed server.
     */
    public boolean admit(Peer peer) {
        if (admitted.size() >= (descriptorLimit - MIN_PENDING_PEERS) / DESCRIPTORS_PER_ADMITTED
                || heap.excessWith(peer.idleHeapBytes()) > reclaimableBytes(peer)) {
            return false;
        }
        Entry entry = pending.remove(peer);
        entry.timeout.cancel();
        admitted.put(peer, entry.acceptedPeer);
        addIdleHeap(peer, DESCRIPTORS_PER_ADMITTED - 1);
        freeResources();
        return true;
    }

    /** The heap that would be free without all pending and lingering peers except this one; 0 if none is short. */
    private long reclaimableBytes(Peer except) {
        if (heap.excessWith(except.idleHeapBytes()) <= 0) {
            return 0;
        }
        return Stream.concat(pending.keySet().stream(), lingering.keySet().stream())
                .filter(peer -> peer != except)
                .mapToLong(Peer::heapBytes)
                .sum();
    }

    /**
     * Called when the peer has got its final answer. Its socket is closed after the linger time unless the peer closes
     * the connection before.
     */
    public void closeAfterLinger(Peer peer) {
        if (peer.isClosed() || lingering.containsKey(peer)) {
            return;
        }
        peer.setAdmission(this);
        linger(peer, remove(peer), LINGER_MICROS);
    }

    /** Called by each socket once, when it is closed locally. */
    void onClosed(Peer peer) {
        AcceptedPeer acceptedPeer = remove(peer);
        if (acceptedPeer != null) {
            acceptedPeer.onClosed();
        }
    }

    /** Removes the peer and returns its session; null if no front has registered the peer. */
    private AcceptedPeer remove(Peer peer) {
        Entry entry = pending.containsKey(peer) ? pending.remove(peer) : lingering.remove(peer);
        if (entry != null) {
            entry.timeout.cancel();
            addIdleHeap(peer, -1);
            return entry.acceptedPeer;
        }
        AcceptedPeer acceptedPeer = admitted.remove(peer);
        if (acceptedPeer != null) {
            addIdleHeap(peer, -DESCRIPTORS_PER_ADMITTED);
        }
        return acceptedPeer;
    }

    /** The number of pending peers: accepted, without a valid request yet. */
    public int peersWithoutRequest() {
        return pending.size();
    }

    /** The number of admitted and lingering peers whose socket has not accepted all output yet. */
    int peersWithUnsentOutput() {
        return (int) Stream.concat(admitted.keySet().stream(), lingering.keySet().stream())
                .filter(peer -> peer.pendingBytes() > 0)
                .count();
    }

    /** The number of descriptors counted for clients and feed servers; each admitted peer counts as two. */
    public int descriptorsInUse() {
        return pending.size() + lingering.size() + DESCRIPTORS_PER_ADMITTED * admitted.size();
    }

    private void freeResources() {
        if (freeingResources) {
            return;
        }
        freeingResources = true;
        while (descriptorsInUse() > descriptorLimit && !lingering.isEmpty()) {
            oldest(lingering).close();
        }
        while (descriptorsInUse() > descriptorLimit && !pending.isEmpty()) {
            rejectWithoutRequest(oldest(pending));
        }
        freeHeap();
        freeingResources = false;
    }

    /** Closes the pending and lingering peers that hold the most until the heap budget suffices. */
    private void freeHeap() {
        int closed = 0;
        while (heap.isExceeded() && !(pending.isEmpty() && lingering.isEmpty())) {
            closeWithoutRequestInFlight(largestReclaimable());
            closed++;
        }
        if (closed > 0) {
            logHeapShortage(closed);
        }
    }

    private Peer largestReclaimable() {
        return Stream.concat(lingering.keySet().stream(), pending.keySet().stream())
                .max(Comparator.comparingLong(Peer::heapBytes))
                .orElseThrow();
    }

    private void closeWithoutRequestInFlight(Peer peer) {
        if (lingering.containsKey(peer)) {
            peer.close();
        } else {
            rejectWithoutRequest(peer);
        }
    }

    private void rejectWithoutRequest(Peer peer) {
        // in a burst of connections the peer's request may have arrived without having been read yet
        peer.readAvailable();
        Entry entry = pending.get(peer);
        if (entry != null) {
            entry.acceptedPeer.reject();
        }
    }

    private void logHeapShortage(int closed) {
        closedForHeap += closed;
        if (loop.nowMicros() >= nextHeapLogMicros) {
            LOG.warning("heap budget exceeded, connections without a request in flight closed count=" + closedForHeap);
            closedForHeap = 0;
            nextHeapLogMicros = loop.nowMicros() + LOG_INTERVAL_MICROS;
        }
    }

    private static Peer oldest(Map<Peer, Entry> peers) {
        return peers.keySet().iterator().next();
    }
}
