package sandstack.front.platform;

import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import sandstack.core.ConnectionAttempt;
import sandstack.core.EndpointRegistry;
import sandstack.core.Relay;
import sandstack.net.ConnectionAdmission;
import sandstack.net.EventLoop;
import sandstack.net.ListeningSocket;

/**
 * The front of the platform's line protocol: listens for clients and connects to feed servers. Used on the event loop's
 * thread, except for the listen methods, which are called before there are any connections.
 */
public final class PlatformFront {
    private static final int MICROS_PER_MILLI = 1000;

    private final EventLoop loop;
    private final Relay relay;
    private final ConnectionAdmission admission;
    private final Set<String> openRequestIds = new HashSet<>();
    private final LoadReportClassifier loadReports;
    private ListeningSocket listeningSocket;

    /** Creates a front that does not listen yet. */
    public PlatformFront(EventLoop loop, Relay relay, ConnectionAdmission admission) {
        this.loop = loop;
        this.relay = relay;
        this.admission = admission;
        this.loadReports =
                new LoadReportClassifier(() -> relay.effectiveSettings().delaysReported());
    }

    /** Starts accepting clients at this address; returns the port, which the kernel chooses if {@code port} is 0. */
    public int listen(String host, int port) throws IOException {
        listeningSocket = loop.listen(host, port, chain());
        return listeningSocket.port();
    }

    /** Accepts clients at the listening socket that this process has inherited; returns its port. */
    public int listenOnInheritedSocket() throws IOException {
        listeningSocket = loop.listenOnInheritedSocket(chain());
        return listeningSocket.port();
    }

    /** Stops accepting clients. A listening socket that is shared with sibling processes stays open for them. */
    public void pauseAccepting() throws IOException {
        listeningSocket.pause();
    }

    private FilterChain chain() {
        return loop.chain(new BaseFilter() {
            @Override
            public NextAction handleAccept(FilterChainContext context) {
                new PlatformClientSession(PlatformFront.this, EventLoop.peer(context));
                return context.getStopAction();
            }
        });
    }

    /** Reserves this id for a request; returns false if an open request has it. */
    boolean claimRequestId(String id) {
        return openRequestIds.add(id);
    }

    void releaseRequestId(String id) {
        openRequestIds.remove(id);
    }

    /** Handles the value of a {@code LOAD} line, which is the connection's load or the server's message delay. */
    void onLoadReport(ConnectionAttempt attempt, double value) {
        if (loadReports.isDelay(attempt.endpoint().entry().serverId(), value, nowMicros())) {
            attempt.onDelayReported(value * MICROS_PER_MILLI);
        } else {
            attempt.onLoadReported(value);
        }
    }

    EventLoop.PendingConnect connect(EndpointRegistry.Endpoint server, EventLoop.ConnectListener listener) {
        return loop.connect(server.host(), server.port(), listener);
    }

    ConnectionAdmission admission() {
        return admission;
    }

    Relay relay() {
        return relay;
    }

    long nowMicros() {
        return loop.nowMicros();
    }
}
