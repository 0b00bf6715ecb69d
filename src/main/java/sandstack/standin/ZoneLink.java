package sandstack.standin;

import java.io.IOException;
import java.util.SplittableRandom;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import sandstack.net.EventLoop;
import sandstack.net.Peer;

/**
 * The way from one zone to a feed server of another: passes bytes on both ways, each after a delay with jitter, in
 * order. Lives on its yard's thread; a piece costs one deadline.
 */
public final class ZoneLink {
    private final StandInLoop loop;
    private final int port;
    private final int serverPort;
    private final long delayMicros;
    private final long jitterMicros;
    private final SplittableRandom random;
    private boolean partitioned;

    /**
     * Creates a link that listens at a port of the system's choice.
     *
     * @param to port of the feed server
     * @param delay one way, in microseconds
     * @param jitter up to so much is added
     */
    public ZoneLink(StandInLoop yard, int to, long delay, long jitter, long seed) throws IOException {
        this.loop = yard;
        this.serverPort = to;
        this.delayMicros = delay;
        this.jitterMicros = jitter;
        this.random = new SplittableRandom(seed);
        this.port = yard.loop()
                .listen(StandInLoop.LOOPBACK, 0, yard.loop().chain(new BaseFilter() {
                    @Override
                    public NextAction handleAccept(FilterChainContext context) {
                        accepted(EventLoop.peer(context));
                        return context.getStopAction();
                    }
                }))
                .port();
    }

    /** The port at which it listens. */
    public int port() {
        return port;
    }

    /** While it is cut nothing passes, and nobody is told. */
    public void setPartitioned(boolean isCut) {
        partitioned = isCut;
    }

    private void accepted(Peer near) {
        LinkEnd here = new LinkEnd(near);
        loop.loop().connect(StandInLoop.LOOPBACK, serverPort, new EventLoop.ConnectListener() {
            @Override
            public void connected(Peer far) {
                LinkEnd there = new LinkEnd(far);
                here.other = there;
                there.other = here;
                here.received(0);
            }

            @Override
            public void failed() {
                near.reset();
            }
        });
    }

    /** One end of one connection. */
    private final class LinkEnd implements Peer.Owner {
        private final Peer peer;
        private LinkEnd other;
        private long lastDeliveryMicros;

        LinkEnd(Peer peer) {
            this.peer = peer;
            peer.ownedBy(this);
        }

        private void scheduleDelivery(Runnable what) {
            // a piece never overtakes the one before it
            lastDeliveryMicros = Math.max(
                    lastDeliveryMicros,
                    loop.now() + delayMicros + (jitterMicros > 0 ? random.nextLong(jitterMicros) : 0));
            loop.after(lastDeliveryMicros - loop.now(), what);
        }

        @Override
        public void received(int count) {
            if (other == null || peer.in().isEmpty()) {
                return;
            }
            byte[] piece = peer.in().take();
            if (!partitioned) {
                scheduleDelivery(() -> other.write(piece));
            }
        }

        private void write(byte[] piece) {
            if (!peer.closed()) {
                peer.send(piece);
            }
        }

        @Override
        public void flushed() {}

        @Override
        public void finished() {
            if (other != null) {
                scheduleDelivery(other.peer::finish);
            }
        }

        @Override
        public void broken() {
            if (other != null) {
                scheduleDelivery(other.peer::reset);
            }
        }
    }
}
