package sandstack.rig;

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
import sandstack.standin.StandInLoop;

/**
 * The way from one member to another, as the first dials it. Bytes pass in order; each direction can be stopped, and
 * goes on with what was held when it is let go, as a network that lost packets does for TCP. What is held is bounded:
 * past that the connection breaks. Lives on its yard's thread.
 */
final class MemberLink {
    /** Bytes held of one direction of one connection. */
    private static final int MAX_BUFFERED_BYTES = 1 << 20;

    private final StandInLoop loop;
    private final String targetHost;
    private final int targetPort;
    private final SplittableRandom random;
    private final int listenPort;
    private final List<LinkEnd> ends = new ArrayList<>();
    private boolean forwardBlocked;
    private boolean reverseBlocked;
    private long delayMicros;
    private long jitterMicros;
    /** Bytes a second; 0 without limit. */
    private long bytesPerSecond;

    private long forwardedBytes;

    /** Leads to this address; is called on the loop's thread. */
    MemberLink(StandInLoop yard, String host, int to, long seed) throws IOException {
        this.loop = yard;
        this.targetHost = host;
        this.targetPort = to;
        this.random = new SplittableRandom(seed);
        this.listenPort = yard.listen(new BaseFilter() {
            @Override
            public NextAction handleAccept(FilterChainContext context) {
                accepted(EventLoop.peer(context));
                return context.getStopAction();
            }
        });
    }

    /** Where the first of the pair dials. */
    int listenPort() {
        return listenPort;
    }

    /** Stops or lets go what comes from the dialling member, and what comes back. Nobody is told. */
    void setBlocked(boolean forth, boolean back) {
        forwardBlocked = forth;
        reverseBlocked = back;
        List.copyOf(ends).forEach(LinkEnd::drain);
    }

    /** From now on each piece takes so many microseconds, and up to so many more, and bytes pass at this rate. */
    void setLatency(long newDelay, long newJitter, long bytesASecond) {
        delayMicros = newDelay;
        jitterMicros = newJitter;
        bytesPerSecond = bytesASecond;
    }

    /** Bytes that have passed so far, both ways. */
    long forwardedBytes() {
        return forwardedBytes;
    }

    /** Breaks all connections that there are. */
    void reset() {
        List.copyOf(ends).forEach(half -> half.peer.reset());
        ends.clear();
    }

    private void accepted(Peer near) {
        LinkEnd here = new LinkEnd(near, true);
        loop.connect(targetHost, targetPort, new EventLoop.ConnectListener() {
            @Override
            public void connected(Peer far) {
                LinkEnd there = new LinkEnd(far, false);
                here.other = there;
                there.other = here;
                here.received(0);
            }

            @Override
            public void failed() {
                here.discard();
                near.reset();
            }
        });
    }

    /** What comes from one end of one connection. */
    private final class LinkEnd implements Peer.Owner {
        private final Peer peer;
        private final boolean forward;
        private final Deque<byte[]> buffered = new ArrayDeque<>();
        private int bufferedBytes;
        private long lastDeliveryMicros;
        /** How this end went while nothing passed; the other hears of it once something does. */
        private Runnable pendingClose;

        private LinkEnd other;

        LinkEnd(Peer peer, boolean forth) {
            this.peer = peer;
            this.forward = forth;
            ends.add(this);
            peer.ownedBy(this);
        }

        private boolean blocked() {
            return forward ? forwardBlocked : reverseBlocked;
        }

        private void discard() {
            ends.remove(this);
            buffered.clear();
        }

        private void closeAfterBuffered(Runnable told) {
            pendingClose = told;
            drain();
        }

        private void scheduleDelivery(int size, Runnable what) {
            // a piece never overtakes the one before it
            long now = loop.now();
            lastDeliveryMicros = Math.max(
                            lastDeliveryMicros,
                            now + delayMicros + (jitterMicros > 0 ? random.nextLong(jitterMicros) : 0))
                    + (bytesPerSecond > 0 ? size * 1_000_000L / bytesPerSecond : 0);
            loop.after(lastDeliveryMicros - now, what);
        }

        @Override
        public void received(int count) {
            if (other == null || peer.in().isEmpty()) {
                return;
            }
            byte[] piece = peer.in().take();
            buffered.add(piece);
            bufferedBytes += piece.length;
            if (bufferedBytes > MAX_BUFFERED_BYTES) {
                peer.reset();
                broken();
                return;
            }
            drain();
        }

        private void drain() {
            while (other != null && !blocked() && !buffered.isEmpty()) {
                byte[] piece = buffered.remove();
                scheduleDelivery(piece.length, () -> {
                    bufferedBytes -= piece.length;
                    forwardedBytes += piece.length;
                    if (!other.peer.closed()) {
                        other.peer.send(piece);
                    }
                });
            }
            if (pendingClose != null && (other == null || !blocked() && buffered.isEmpty())) {
                discard();
                if (other != null) {
                    scheduleDelivery(0, pendingClose);
                }
                pendingClose = null;
            }
        }

        @Override
        public void flushed() {}

        @Override
        public void finished() {
            closeAfterBuffered(() -> other.peer.finish());
        }

        @Override
        public void broken() {
            buffered.clear();
            closeAfterBuffered(() -> other.peer.reset());
        }
    }
}
