import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.qpid.protonj2.engine.Link;
import org.apache.qpid.protonj2.engine.Receiver;
import org.apache.qpid.protonj2.types.messaging.Accepted;
import org.apache.qpid.protonj2.types.messaging.Target;

/**
 * A sound feed server of AMQP 1.0: accepts each link, gives credit, works on one delivery after another, and accepts and
 * settles each. While another program takes a share of its machine, each delivery takes it longer.
 */
final class AmqpFeedServer {
    private static final int CREDIT = 100;
    /** The work of one delivery where no other program takes a share. */
    private static final double WORK_MILLIS = 10;
    /** Frames are small, and the session holds a few of them: a delivery that has not been read takes room. */
    private static final int MAX_FRAME_BYTES = 1024;

    private static final int SESSION_FRAMES = 8;

    private final Bench bench;
    private final String name;
    private final ServerSocket listener;
    private final AtomicInteger connections = new AtomicInteger();
    /** The deliveries that have come, in order. */
    final List<String> received = new CopyOnWriteArrayList<>();
    /** The share of the machine that another program takes. */
    volatile double shareTaken;

    /** Whether a link has been attached here. */
    volatile boolean attached;

    AmqpFeedServer(Bench bench, String name) throws IOException {
        this.bench = bench;
        this.name = name;
        listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    }

    int port() {
        return listener.getLocalPort();
    }

    void start() {
        Bench.daemon(name, () -> {
            while (true) {
                Socket socket = listener.accept();
                String connectionName = name + " connection " + connections.incrementAndGet();
                Bench.daemon(connectionName, () -> serve(new AmqpPeer(bench, connectionName, socket)));
            }
        });
    }

    private void serve(AmqpPeer peer) {
        synchronized (peer) {
            peer.connection.setMaxFrameSize(MAX_FRAME_BYTES);
            peer.connection.openHandler(c -> c.setContainerId(name).open());
            peer.connection.sessionOpenHandler(session -> {
                session.setIncomingCapacity(SESSION_FRAMES * MAX_FRAME_BYTES);
                session.open();
            });
            peer.connection.receiverOpenHandler(receiver -> onAttached(peer, receiver));
        }
        peer.startHeartbeats();
        peer.read();
    }

    private void onAttached(AmqpPeer peer, Receiver receiver) {
        bench.note(peer.name + ": attach of link \"" + receiver.getName() + "\" with " + receiver.getRemoteProperties());
        attached = true;
        StringBuilder partial = new StringBuilder();
        receiver.closeHandler(Link::close);
        receiver.deliveryAbortedHandler(delivery -> {
            partial.setLength(0);
            delivery.settle();
        });
        receiver.deliveryReadHandler(delivery -> {
            partial.append(AmqpPeer.text(delivery.readAll()));
            if (!delivery.isPartial()) {
                Bench.sleep(Math.round(WORK_MILLIS / (1 - shareTaken)));
                String text = partial.toString();
                partial.setLength(0);
                received.add(text);
                bench.note(peer.name + ": received \"" + text + "\", tag "
                        + new String(delivery.getTag().tagBytes()) + "; accepts and settles it");
                delivery.disposition(Accepted.getInstance(), true);
                receiver.addCredit(1);
            }
        });
        receiver.setSource(receiver.getRemoteSource());
        receiver.setTarget(receiver.<Target>getRemoteTarget());
        receiver.open();
        receiver.addCredit(CREDIT);
    }
}
