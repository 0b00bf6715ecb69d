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
final class PairLink {
    /** Bytes held of one direction of one connection. */
    private static final int MOST_HELD = 1 << 20;

    private final StandInLoop yard;
    private final String host;
    private final int to;
    private final SplittableRandom chance;
    private final int port;
    private final List<Half> halves = new ArrayList<>();
    private boolean forthStopped;
    private boolean backStopped;
    private long delay;
    private long jitter;
    /** Bytes a second; 0 without limit. */
    private long rate;

    private long passed;

    /** Leads to this address; is called on the loop's thread. */
    PairLink(StandInLoop yard, String host, int to, long seed) throws IOException {
        this.yard = yard;
        this.host = host;
        this.to = to;
        this.chance = new SplittableRandom(seed);
        this.port = yard.listen(new BaseFilter() {
            @Override
            public NextAction handleAccept(FilterChainContext context) {
                accepted(EventLoop.peer(context));
                return context.getStopAction();
            }
        });
    }

    /** Where the first of the pair dials. */
    int port() {
        return port;
    }

    /** Stops or lets go what comes from the dialling member, and what comes back. Nobody is told. */
    void stop(boolean forth, boolean back) {
        forthStopped = forth;
        backStopped = back;
        List.copyOf(halves).forEach(Half::go);
    }

    /** From now on each piece takes so many microseconds, and up to so many more, and bytes pass at this rate. */
    void slow(long newDelay, long newJitter, long bytesASecond) {
        delay = newDelay;
        jitter = newJitter;
        rate = bytesASecond;
    }

    /** Bytes that have passed so far, both ways. */
    long passed() {
        return passed;
    }

    /** Breaks all connections that there are. */
    void reset() {
        List.copyOf(halves).forEach(half -> half.peer.reset());
        halves.clear();
    }

    private void accepted(Peer near) {
        Half here = new Half(near, true);
        yard.connect(host, to, new EventLoop.ConnectListener() {
            @Override
            public void connected(Peer far) {
                Half there = new Half(far, false);
                here.other = there;
                there.other = here;
                here.onBytesReceived(0);
            }

            @Override
            public void failed() {
                here.gone();
                near.reset();
            }
        });
    }

    /** What comes from one end of one connection. */
    private final class Half implements Peer.Listener {
        private final Peer peer;
        private final boolean forth;
        private final Deque<byte[]> held = new ArrayDeque<>();
        private int bytes;
        private long lastDue;
        /** How this end went while nothing passed; the other hears of it once something does. */
        private Runnable end;

        private Half other;

        Half(Peer peer, boolean forth) {
            this.peer = peer;
            this.forth = forth;
            halves.add(this);
            peer.setListener(this);
        }

        private boolean stopped() {
            return forth ? forthStopped : backStopped;
        }

        private void gone() {
            halves.remove(this);
            held.clear();
        }

        private void ended(Runnable told) {
            end = told;
            go();
        }

        private void later(int size, Runnable what) {
            // a piece never overtakes the one before it
            long now = yard.now();
            lastDue = Math.max(lastDue, now + delay + (jitter > 0 ? chance.nextLong(jitter) : 0))
                    + (rate > 0 ? size * 1_000_000L / rate : 0);
            yard.after(lastDue - now, what);
        }

        @Override
        public void onBytesReceived(int count) {
            if (other == null || peer.input().isEmpty()) {
                return;
            }
            byte[] piece = peer.input().takeAll();
            held.add(piece);
            bytes += piece.length;
            if (bytes > MOST_HELD) {
                peer.reset();
                onConnectionLost();
                return;
            }
            go();
        }

        private void go() {
            while (other != null && !stopped() && !held.isEmpty()) {
                byte[] piece = held.remove();
                later(piece.length, () -> {
                    bytes -= piece.length;
                    passed += piece.length;
                    if (!other.peer.isClosed()) {
                        other.peer.send(piece);
                    }
                });
            }
            if (end != null && (other == null || (!stopped() && held.isEmpty()))) {
                gone();
                if (other != null) {
                    later(0, end);
                }
                end = null;
            }
        }

        @Override
        public void onFlushed() {}

        @Override
        public void onEndOfInput() {
            ended(() -> other.peer.shutdownOutput());
        }

        @Override
        public void onConnectionLost() {
            held.clear();
            ended(() -> other.peer.reset());
        }
    }
}
