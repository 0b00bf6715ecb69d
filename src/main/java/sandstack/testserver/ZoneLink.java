package sandstack.testserver;

import java.io.IOException;
import java.util.SplittableRandom;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import sandstack.net.EventLoop;
import sandstack.net.Peer;

/**
 * A TCP proxy that simulates the network from one zone to a feed server in another: delivers bytes in both directions,
 * in order, after a delay with jitter. Used on the thread of its loop. Each delivery costs one timer.
 */
public final class ZoneLink {
    private final TestServerLoop loop;
    private final int port;
    private final int serverPort;
    private final long delayMicros;
    private final long jitterMicros;
    private final SplittableRandom random;
    private boolean partitioned;

    /**
     * Listens on a port that the system chooses.
     *
     * @param serverPort port of the feed server
     * @param delayMicros delay in each direction
     * @param jitterMicros exclusive upper bound of the random addition to the delay; 0 for no jitter
     * @param seed seed of the jitter
     */
    public ZoneLink(TestServerLoop loop, int serverPort, long delayMicros, long jitterMicros, long seed)
            throws IOException {
        this.loop = loop;
        this.serverPort = serverPort;
        this.delayMicros = delayMicros;
        this.jitterMicros = jitterMicros;
        this.random = new SplittableRandom(seed);
        this.port = loop.listen(0, new BaseFilter() {
            @Override
            public NextAction handleAccept(FilterChainContext context) {
                accepted(EventLoop.peer(context));
                return context.getStopAction();
            }
        });
    }

    /** The port on which the link listens. */
    public int port() {
        return port;
    }

    /**
     * While partitioned, the link drops all bytes that arrive and keeps the connections open. A FIN or a reset is still
     * forwarded.
     */
    public void setPartitioned(boolean isPartitioned) {
        partitioned = isPartitioned;
    }

    private void accepted(Peer client) {
        LinkEnd clientEnd = new LinkEnd(client);
        loop.eventLoop().connect(TestServerLoop.LOOPBACK, serverPort, new EventLoop.ConnectListener() {
            @Override
            public void connected(Peer server) {
                LinkEnd serverEnd = new LinkEnd(server);
                clientEnd.oppositeEnd = serverEnd;
                serverEnd.oppositeEnd = clientEnd;
                // forwards what the client sent before the server was connected
                clientEnd.onBytesReceived(0);
            }

            @Override
            public void failed() {
                client.reset();
            }
        });
    }

    /** One of the two sockets of a proxied connection. */
    private final class LinkEnd implements Peer.Listener {
        private final Peer peer;
        /** Where bytes received here are sent; null until the server is connected. */
        private LinkEnd oppositeEnd;

        private long lastDeliveryMicros;

        LinkEnd(Peer peer) {
            this.peer = peer;
            peer.setListener(this);
        }

        private void scheduleDelivery(Runnable delivery) {
            // a delivery before the previous one would reorder bytes
            lastDeliveryMicros = Math.max(
                    lastDeliveryMicros,
                    loop.nowMicros() + delayMicros + (jitterMicros > 0 ? random.nextLong(jitterMicros) : 0));
            loop.schedule(lastDeliveryMicros - loop.nowMicros(), delivery);
        }

        @Override
        public void onBytesReceived(int count) {
            if (oppositeEnd == null || peer.input().isEmpty()) {
                return;
            }
            byte[] bytes = peer.input().takeAll();
            if (!partitioned) {
                scheduleDelivery(() -> oppositeEnd.write(bytes));
            }
        }

        private void write(byte[] bytes) {
            if (!peer.isClosed()) {
                peer.send(bytes);
            }
        }

        @Override
        public void onFlushed() {}

        @Override
        public void onEndOfInput() {
            if (oppositeEnd != null) {
                scheduleDelivery(oppositeEnd.peer::shutdownOutput);
            }
        }

        @Override
        public void onConnectionLost() {
            if (oppositeEnd != null) {
                scheduleDelivery(oppositeEnd.peer::reset);
            }
        }
    }
}
