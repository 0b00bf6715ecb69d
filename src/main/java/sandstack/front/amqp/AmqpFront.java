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
import sandstack.net.HeapBudget;
import sandstack.net.Peer;

/**
 * The front of AMQP 1.0: listens for clients, connects to feed servers and assigns each link to one client session.
 * Used on the event loop's thread, except for {@link #listen}, which is called before there are any connections.
 */
public final class AmqpFront {
    /**
     * Maximum frame size that the relay announces to clients and feed servers: a frame fits into the buffer of a
     * {@link Peer}, also as it is forwarded, with fields of another length.
     */
    static final int MAX_FRAME_BYTES = Peer.BUFFER_LIMIT_BYTES - 1024;
    /**
     * Highest channel that a client may use. Its request needs one session; a second one lets it get an error for a
     * further link.
     */
    static final int MAX_CLIENT_CHANNEL = 1;
    /** Highest handle that a client may use in a session, for the same reason. */
    static final int MAX_CLIENT_HANDLE = 1;
    /** Highest channel that a feed server may use: the one session of the attempt. */
    static final int MAX_SERVER_CHANNEL = 0;
    /** Highest handle that a feed server may use in that session: the one link of the attempt. */
    static final int MAX_SERVER_HANDLE = 0;
    /** Incoming capacity of each session, in bytes. */
    static final int SESSION_WINDOW_BYTES = 256 * 1024;
    /** A client that sends nothing for this long is disconnected. */
    static final int CLIENT_IDLE_TIMEOUT_MILLIS = 20_000;
    /** A feed server that sends nothing for this long is unresponsive. */
    static final int SERVER_IDLE_TIMEOUT_MILLIS = 4_500;

    private final EventLoop loop;
    private final Relay relay;
    private final String containerId;
    private final ConnectionAdmission admission;
    private final Map<LinkId, AmqpClientSession> sessions = new HashMap<>();
    private final UnsettledDeliveries unsettledDeliveries = new UnsettledDeliveries();

    /**
     * Creates a front that does not listen yet.
     *
     * @param containerId the AMQP container id that the relay sends to clients
     */
    public AmqpFront(EventLoop loop, Relay relay, ConnectionAdmission admission, String containerId) {
        this.loop = loop;
        this.relay = relay;
        this.containerId = containerId;
        this.admission = admission;
    }

    /** Starts accepting clients at this address; returns the port, which the kernel chooses if {@code port} is 0. */
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

    /**
     * Assigns the link to this session. Runs the callback at once, or after the earlier session of the link has ended;
     * see {@link AmqpClientSession#onSuperseded}.
     */
    void claimLink(LinkId id, AmqpClientSession client, Runnable whenClaimed) {
        AmqpClientSession earlier = sessions.put(id, client);
        if (earlier == null) {
            whenClaimed.run();
        } else {
            earlier.onSuperseded(client, whenClaimed);
        }
    }

    /** Releases the link of this session, and keeps its unsettled deliveries if {@code unsettled} is not null. */
    void releaseLink(LinkId id, AmqpClientSession client, DeliveryTracker unsettled) {
        sessions.remove(id, client);
        if (unsettled != null) {
            unsettledDeliveries.put(id, unsettled);
        }
    }

    /**
     * Removes and returns the deliveries that an earlier connection of this link left unsettled; null if there are
     * none. Omits deliveries that are not in {@code clientUnsettled}, the client's unsettled map; the map is null if
     * the client has sent none, which after an orderly end means that it holds no delivery.
     */
    DeliveryTracker takeUnsettled(LinkId id, Map<Binary, DeliveryState> clientUnsettled) {
        DeliveryTracker unsettled = unsettledDeliveries.remove(id);
        if (unsettled != null && clientUnsettled != null) {
            unsettled.retainAll(clientUnsettled.keySet());
        }
        return unsettled == null || (unsettled.isNamedOnly() && clientUnsettled == null) ? null : unsettled;
    }

    HeapBudget heapBudget() {
        return loop.heapBudget();
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
