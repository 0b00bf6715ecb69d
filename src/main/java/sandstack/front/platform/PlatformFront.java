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

/** The platform's line protocol: listens for clients and connects to feed servers. */
public final class PlatformFront {
    private final EventLoop loop;
    private final Relay relay;
    private final ConnectionAdmission lobby;
    private final Set<String> ids = new HashSet<>();
    private final LoadLines loadLines;
    private ListeningSocket listener;

    /** Creates a front that does not listen yet. */
    public PlatformFront(EventLoop loop, Relay relay, ConnectionAdmission lobby) {
        this.loop = loop;
        this.relay = relay;
        this.lobby = lobby;
        this.loadLines = new LoadLines(() -> relay.effectiveSettings().delaysReported());
    }

    /** Listens; returns the port. */
    public int listen(String host, int port) throws IOException {
        listener = loop.listen(host, port, chain());
        return listener.port();
    }

    /** Accepts clients at the listening socket that this process has inherited; returns its port. */
    public int listenOnInheritedSocket() throws IOException {
        listener = loop.listenOnInheritedSocket(chain());
        return listener.port();
    }

    /** Accepts nobody any more; a socket that others have too stays as it is. */
    public void pauseAccepting() throws IOException {
        listener.pause();
    }

    private FilterChain chain() {
        return loop.chain(new BaseFilter() {
            @Override
            public NextAction handleAccept(FilterChainContext context) {
                new PlatformClient(PlatformFront.this, EventLoop.peer(context));
                return context.getStopAction();
            }
        });
    }

    /** Takes this id for a request; false where an open one has it. */
    boolean claim(String id) {
        return ids.add(id);
    }

    void released(String id) {
        ids.remove(id);
    }

    /** A feed server has told this figure of a standing execution. */
    void loadTold(ConnectionAttempt execution, double told) {
        if (loadLines.isDelay(execution.endpoint().entry().serverId(), told, now())) {
            execution.onDelayReported(told * 1000);
        } else {
            execution.onLoadReported(told);
        }
    }

    EventLoop.PendingConnect connect(EndpointRegistry.Endpoint server, EventLoop.ConnectListener told) {
        return loop.connect(server.host(), server.port(), told);
    }

    ConnectionAdmission lobby() {
        return lobby;
    }

    Relay relay() {
        return relay;
    }

    long now() {
        return loop.nowMicros();
    }
}
