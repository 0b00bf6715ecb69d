package sandstack.front.amqp;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import org.apache.qpid.protonj2.types.Binary;
import org.apache.qpid.protonj2.types.transport.DeliveryState;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import sandstack.core.EndpointRegistry;
import sandstack.core.Relay;
import sandstack.net.ConnectionAdmission;
import sandstack.net.EventLoop;
import sandstack.random.BoundedMap;

/**
 * AMQP 1.0: listens for clients, connects to feed servers and assigns each link to one client session. Used on the
 * loop's thread, apart from listening before the loop has clients.
 */
public final class AmqpFront {
    static final int MAX_FRAME_BYTES = 64 * 1024;
    static final int SESSION_WINDOW_BYTES = 256 * 1024;
    static final int CLIENT_IDLE_TIMEOUT_MILLIS = 20_000;
    /** A feed server that is silent for so long is unresponsive. */
    static final int SERVER_IDLE_TIMEOUT_MILLIS = 4_500;
    /** Links with unsettled deliveries that are remembered for clients which attach again. */
    private static final int MAX_REMEMBERED_LINKS = 1024;

    private final EventLoop loop;
    private final Relay relay;
    private final String containerId;
    private final ConnectionAdmission admission;
    private final Map<LinkId, AmqpClientSession> sessions = new HashMap<>();
    private final Map<LinkId, DeliveryTracker> unsettledByLink = new BoundedMap<>(MAX_REMEMBERED_LINKS);

    /**
     * Creates a front that does not listen yet.
     *
     * @param containerId the container id that the relay sends to clients
     */
    public AmqpFront(EventLoop loop, Relay relay, ConnectionAdmission admission, String containerId) {
        this.loop = loop;
        this.relay = relay;
        this.containerId = containerId;
        this.admission = admission;
    }

    /** Listens; returns the port. */
    public int listen(String host, int port) throws IOException {
        return loop.listen(host, port, loop.chain(new BaseFilter() {
                    @Override
                    public NextAction handleAccept(FilterChainContext context) {
                        new AmqpClientSession(AmqpFront.this, EventLoop.peer(context));
                        return context.getStopAction();
                    }
                }))
                .port();
    }

    EventLoop.PendingConnect connect(EndpointRegistry.Endpoint server, EventLoop.ConnectListener listener) {
        return loop.connect(server.host(), server.port(), listener);
    }

    /** Assigns the link to this session; the callback runs once an earlier session's attempt is closed. */
    void claimLink(LinkId id, AmqpClientSession client, Runnable whenClaimed) {
        AmqpClientSession earlier = sessions.put(id, client);
        if (earlier == null) {
            whenClaimed.run();
        } else {
            earlier.superseded(whenClaimed);
        }
    }

    /** Releases the link of this session and keeps its unsettled deliveries, if not null. */
    void releaseLink(LinkId id, AmqpClientSession client, DeliveryTracker unsettled) {
        sessions.remove(id, client);
        if (unsettled != null) {
            unsettledByLink.remove(id);
            unsettledByLink.put(id, unsettled);
        }
    }

    /**
     * Removes and returns the deliveries that an earlier connection of this link left unsettled; null if there are
     * none. If the client has sent its unsettled map, only the deliveries in it count.
     */
    DeliveryTracker takeUnsettled(LinkId id, Map<Binary, DeliveryState> stillHeld) {
        DeliveryTracker unsettled = unsettledByLink.remove(id);
        if (unsettled != null && stillHeld != null) {
            unsettled.unsettledStates().keySet().stream()
                    .filter(tag -> !stillHeld.containsKey(tag))
                    .forEach(unsettled::forget);
        }
        return unsettled;
    }

    ConnectionAdmission admission() {
        return admission;
    }

    Relay relay() {
        return relay;
    }

    String containerId() {
        return containerId;
    }

    long nowMicros() {
        return loop.nowMicros();
    }
}
