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
    private final StandInLoop yard;
    private final int port;
    private final int to;
    private final long delay;
    private final long jitter;
    private final SplittableRandom chance;
    private boolean cut;

    /**
     * Creates a link that listens at a port of the system's choice.
     *
     * @param to port of the feed server
     * @param delay one way, in microseconds
     * @param jitter up to so much is added
     */
    public ZoneLink(StandInLoop yard, int to, long delay, long jitter, long seed) throws IOException {
        this.yard = yard;
        this.to = to;
        this.delay = delay;
        this.jitter = jitter;
        this.chance = new SplittableRandom(seed);
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
    public void cut(boolean isCut) {
        cut = isCut;
    }

    private void accepted(Peer near) {
        End here = new End(near);
        yard.loop().connect(StandInLoop.LOOPBACK, to, new EventLoop.ConnectListener() {
            @Override
            public void connected(Peer far) {
                End there = new End(far);
                here.other = there;
                there.other = here;
                here.onBytesReceived(0);
            }

            @Override
            public void failed() {
                near.reset();
            }
        });
    }

    /** One end of one connection. */
    private final class End implements Peer.Listener {
        private final Peer peer;
        private End other;
        private long lastDue;

        End(Peer peer) {
            this.peer = peer;
            peer.setListener(this);
        }

        private void later(Runnable what) {
            // a piece never overtakes the one before it
            lastDue = Math.max(lastDue, yard.now() + delay + (jitter > 0 ? chance.nextLong(jitter) : 0));
            yard.after(lastDue - yard.now(), what);
        }

        @Override
        public void onBytesReceived(int count) {
            if (other == null || peer.input().isEmpty()) {
                return;
            }
            byte[] piece = peer.input().takeAll();
            if (!cut) {
                later(() -> other.write(piece));
            }
        }

        private void write(byte[] piece) {
            if (!peer.isClosed()) {
                peer.send(piece);
            }
        }

        @Override
        public void onFlushed() {}

        @Override
        public void onEndOfInput() {
            if (other != null) {
                later(other.peer::shutdownOutput);
            }
        }

        @Override
        public void onConnectionLost() {
            if (other != null) {
                later(other.peer::reset);
            }
        }
    }
}
