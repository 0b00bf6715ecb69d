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

/** AMQP 1.0: listens for clients, connects to feed servers and knows which link is whose. */
public final class AmqpFront {
    static final int FRAME = 64 * 1024;
    static final int WINDOW = 256 * 1024;
    static final int CLIENT_IDLE_MILLIS = 20_000;
    /** A feed server that says nothing for so long is as good as gone. */
    static final int SERVER_IDLE_MILLIS = 4_500;
    /** So many broken links are remembered for clients that come again. */
    private static final int MOST_REMEMBERED = 1024;

    private final EventLoop loop;
    private final Relay relay;
    private final String container;
    private final ConnectionAdmission lobby;
    private final Map<LinkId, AmqpClient> holders = new HashMap<>();
    private final Map<LinkId, Deliveries> broken = new BoundedMap<>(MOST_REMEMBERED);

    /**
     * Creates a front that does not listen yet.
     *
     * @param container what the relay calls itself to clients
     */
    public AmqpFront(EventLoop loop, Relay relay, ConnectionAdmission lobby, String container) {
        this.loop = loop;
        this.relay = relay;
        this.container = container;
        this.lobby = lobby;
    }

    /** Listens; returns the port. */
    public int listen(String host, int port) throws IOException {
        return loop.listen(host, port, loop.chain(new BaseFilter() {
                    @Override
                    public NextAction handleAccept(FilterChainContext context) {
                        new AmqpClient(AmqpFront.this, EventLoop.peer(context));
                        return context.getStopAction();
                    }
                }))
                .port();
    }

    EventLoop.PendingConnect connect(EndpointRegistry.Endpoint server, EventLoop.ConnectListener told) {
        return loop.connect(server.host(), server.port(), told);
    }

    /** Makes this client the holder of its link; what the earlier holder had out is over before it goes on. */
    void claim(LinkId id, AmqpClient client, Runnable goOn) {
        AmqpClient earlier = holders.put(id, client);
        if (earlier == null) {
            goOn.run();
        } else {
            earlier.superseded(goOn);
        }
    }

    /** The client holds its link no more; what it left unsettled is kept, if anything. */
    void released(LinkId id, AmqpClient client, Deliveries unsettled) {
        holders.remove(id, client);
        if (unsettled != null) {
            broken.remove(id);
            broken.put(id, unsettled);
        }
    }

    /**
     * What became of the deliveries that an earlier connection of this link left; null where it left none. A
     * client that says which deliveries it still holds is taken at its word.
     */
    Deliveries remembered(LinkId id, Map<Binary, DeliveryState> stillHeld) {
        Deliveries left = broken.remove(id);
        if (left != null && stillHeld != null) {
            left.unsettled().keySet().stream()
                    .filter(tag -> !stillHeld.containsKey(tag))
                    .forEach(left::forget);
        }
        return left;
    }

    ConnectionAdmission lobby() {
        return lobby;
    }

    Relay relay() {
        return relay;
    }

    String container() {
        return container;
    }

    long now() {
        return loop.nowMicros();
    }
}
