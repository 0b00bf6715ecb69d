package sandstack.faultinjection;

import java.util.function.IntFunction;
import sandstack.testserver.TestServerLoop;

/**
 * The links of a fleet: one {@link MemberLink} for each ordered pair of members, for the connections that the first one
 * opens to the second. Used on the thread of the {@link ProcessFleet}; the links run on the thread of the loop.
 */
final class FleetLinks {
    private final TestServerLoop loop;
    private final MemberLink[][] links;
    /** Whether traffic from the first member to the second passes, whichever of them opened the connection. */
    private final boolean[][] passes;

    FleetLinks(TestServerLoop loop, int[] ports, IntFunction<String> hosts) {
        int size = ports.length;
        this.loop = loop;
        links = new MemberLink[size][size];
        passes = new boolean[size][size];
        for (int from = 0; from < size; from++) {
            for (int to = 0; to < size; to++) {
                passes[from][to] = true;
                if (from != to) {
                    String host = hosts.apply(to);
                    int port = ports[to];
                    long seed = (long) from * size + to;
                    links[from][to] = loop.create(() -> new MemberLink(loop, host, port, seed));
                }
            }
        }
    }

    /** The loopback port to which the first member connects to reach the second. */
    int port(int from, int to) {
        return links[from][to].listenPort();
    }

    void block(int from, int to) {
        setPassing(from, to, false);
    }

    void unblock(int from, int to) {
        setPassing(from, to, true);
    }

    private void setPassing(int from, int to, boolean passing) {
        passes[from][to] = passing;
        loop.run(() -> {
            links[from][to].setBlocked(!passes[from][to], !passes[to][from]);
            links[to][from].setBlocked(!passes[to][from], !passes[from][to]);
        });
    }

    void reset(int a, int b) {
        loop.run(() -> {
            links[a][b].reset();
            links[b][a].reset();
        });
    }

    void setLatency(int a, int b, long delayMicros, long jitterMicros, long bytesPerSecond) {
        loop.run(() -> {
            links[a][b].setLatency(delayMicros, jitterMicros, bytesPerSecond);
            links[b][a].setLatency(delayMicros, jitterMicros, bytesPerSecond);
        });
    }

    long forwardedBytes() {
        return loop.call(() -> {
            long bytes = 0;
            for (MemberLink[] fromOneMember : links) {
                for (MemberLink link : fromOneMember) {
                    bytes += link == null ? 0 : link.forwardedBytes();
                }
            }
            return bytes;
        });
    }
}
