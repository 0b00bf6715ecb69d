package sandstack.faultinjection;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import sandstack.net.EventLoop;
import sandstack.net.Peer;
import sandstack.testserver.TestServerLoop;

/**
 * A TCP proxy on the link from one member to another that injects network faults and preserves the order of bytes. Each
 * direction can be blocked: the proxy then buffers the bytes and delivers them once the direction is unblocked, as TCP
 * does after lost packets. A connection that exceeds the buffer is reset. Used on the thread of its loop.
 */
final class MemberLink {
    /** Maximum size of the buffer for one direction of one connection. */
    private static final int MAX_BUFFERED_BYTES = 1 << 20;

    private static final long MICROS_PER_SECOND = 1_000_000;

    private final TestServerLoop loop;
    private final String targetHost;
    private final int targetPort;
    private final SplittableRandom random;
    private final int listenPort;
    private final List<LinkEnd> ends = new ArrayList<>();
    private boolean forwardBlocked;
    private boolean reverseBlocked;
    private long delayMicros;
    private long jitterMicros;
    /** 0 for no limit. */
    private long bytesPerSecond;

    private long forwardedBytes;

    MemberLink(TestServerLoop loop, String targetHost, int targetPort, long seed) throws IOException {
        this.loop = loop;
        this.targetHost = targetHost;
        this.targetPort = targetPort;
        this.random = new SplittableRandom(seed);
        this.listenPort = loop.listen(new BaseFilter() {
            @Override
            public NextAction handleAccept(FilterChainContext context) {
                accepted(EventLoop.peer(context));
                return context.getStopAction();
            }
        });
    }

    /** The port to which the first member connects in place of the second member's port. */
    int listenPort() {
        return listenPort;
    }

    /**
     * Blocks or unblocks each direction; forward is the direction from the member that connects. Connections stay open.
     */
    void setBlocked(boolean forward, boolean reverse) {
        forwardBlocked = forward;
        reverseBlocked = reverse;
        List.copyOf(ends).forEach(LinkEnd::deliverBuffered);
    }

    /**
     * Sets the delay, the upper bound of the random addition to it, and the bandwidth (0 for no limit) for bytes
     * delivered from now on.
     */
    void setLatency(long newDelayMicros, long newJitterMicros, long newBytesPerSecond) {
        delayMicros = newDelayMicros;
        jitterMicros = newJitterMicros;
        bytesPerSecond = newBytesPerSecond;
    }

    /** Bytes delivered so far in both directions. */
    long forwardedBytes() {
        return forwardedBytes;
    }

    /** Resets all open connections. */
    void reset() {
        List.copyOf(ends).forEach(end -> end.peer.reset());
        ends.clear();
    }

    private void accepted(Peer client) {
        LinkEnd clientEnd = new LinkEnd(client, true);
        loop.connect(targetHost, targetPort, new EventLoop.ConnectListener() {
            @Override
            public void connected(Peer target) {
                LinkEnd targetEnd = new LinkEnd(target, false);
                clientEnd.other = targetEnd;
                targetEnd.other = clientEnd;
                clientEnd.onBytesReceived(0);
            }

            @Override
            public void failed() {
                clientEnd.discard();
                client.reset();
            }
        });
    }

    /** One end of a connection, with the bytes received from it that are not delivered yet. */
    private final class LinkEnd implements Peer.Listener {
        private final Peer peer;
        private final boolean forward;
        private final Deque<byte[]> buffered = new ArrayDeque<>();
        private int bufferedBytes;
        private long lastDeliveryMicros;
        /** Closes the other end after the delivery of the buffered bytes; null while this end is open. */
        private Runnable pendingClose;

        /** Null until the target is connected. */
        private LinkEnd other;

        LinkEnd(Peer peer, boolean forward) {
            this.peer = peer;
            this.forward = forward;
            ends.add(this);
            peer.setListener(this);
        }

        private boolean blocked() {
            return forward ? forwardBlocked : reverseBlocked;
        }

        private void discard() {
            ends.remove(this);
            buffered.clear();
        }

        private void closeAfterBuffered(Runnable close) {
            pendingClose = close;
            deliverBuffered();
        }

        private void scheduleDelivery(int size, Runnable delivery) {
            long nowMicros = loop.nowMicros();
            long jitter = jitterMicros > 0 ? random.nextLong(jitterMicros) : 0;
            long transmissionMicros = bytesPerSecond > 0 ? size * MICROS_PER_SECOND / bytesPerSecond : 0;
            // not before the previous delivery, to preserve the order of bytes
            lastDeliveryMicros = Math.max(lastDeliveryMicros, nowMicros + delayMicros + jitter) + transmissionMicros;
            loop.schedule(lastDeliveryMicros - nowMicros, delivery);
        }

        @Override
        public void onBytesReceived(int count) {
            if (other == null || peer.input().isEmpty()) {
                return;
            }
            byte[] bytes = peer.input().takeAll();
            buffered.add(bytes);
            bufferedBytes += bytes.length;
            if (bufferedBytes > MAX_BUFFERED_BYTES) {
                peer.reset();
                onConnectionLost();
                return;
            }
            deliverBuffered();
        }

        private void deliverBuffered() {
            while (other != null && !blocked() && !buffered.isEmpty()) {
                byte[] bytes = buffered.remove();
                scheduleDelivery(bytes.length, () -> deliver(bytes));
            }
            if (pendingClose != null && (other == null || (!blocked() && buffered.isEmpty()))) {
                discard();
                if (other != null) {
                    scheduleDelivery(0, pendingClose);
                }
                pendingClose = null;
            }
        }

        private void deliver(byte[] bytes) {
            bufferedBytes -= bytes.length;
            forwardedBytes += bytes.length;
            if (!other.peer.isClosed()) {
                other.peer.send(bytes);
            }
        }

        @Override
        public void onFlushed() {}

        @Override
        public void onEndOfInput() {
            closeAfterBuffered(() -> other.peer.shutdownOutput());
        }

        @Override
        public void onConnectionLost() {
            buffered.clear();
            closeAfterBuffered(() -> other.peer.reset());
        }
    }
}
