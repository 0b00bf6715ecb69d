import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import org.apache.qpid.protonj2.buffer.ProtonBufferAllocator;
import org.apache.qpid.protonj2.engine.OutgoingDelivery;
import org.apache.qpid.protonj2.engine.Sender;
import org.apache.qpid.protonj2.engine.Session;
import org.apache.qpid.protonj2.types.Symbol;
import org.apache.qpid.protonj2.types.UnsignedInteger;
import org.apache.qpid.protonj2.types.messaging.Source;
import org.apache.qpid.protonj2.types.messaging.Target;
import org.apache.qpid.protonj2.types.transport.ConnectionError;

/**
 * One connection of an AMQP client that sends. Its deliveries have the tags 0, 1, 2 ... on each connection, as those of
 * most client libraries. A delivery that the other side has settled is settled, and forgotten.
 */
final class AmqpClient {
    private final AmqpPeer peer;
    private final Sender sender;
    private int nextTag;
    final CountDownLatch attached = new CountDownLatch(1);
    volatile boolean up;
    /** Whether the relay has closed the connection with the error that stands for MOVE. */
    volatile boolean moved;
    /** The outcome of each delivery that the other side has settled, by its text. */
    final Map<String, String> outcomes = new ConcurrentHashMap<>();

    AmqpClient(Bench bench, String name, int port, String containerId, String key, int deadlineMillis)
            throws IOException {
        peer = new AmqpPeer(bench, name, new Socket("127.0.0.1", port));
        synchronized (peer) {
            peer.connection.setContainerId(containerId);
            peer.connection.open();
            Session session = peer.connection.session().open();
            sender = session.sender("orders");
            sender.setSource(new Source());
            sender.setTarget(new Target());
            Map<Symbol, Object> properties = new LinkedHashMap<>();
            properties.put(Symbol.valueOf("sandstack:class"), "order-status");
            properties.put(Symbol.valueOf("sandstack:key"), key);
            properties.put(Symbol.valueOf("sandstack:group"), "shop-1");
            properties.put(Symbol.valueOf("sandstack:deadline-ms"), UnsignedInteger.valueOf(deadlineMillis));
            sender.setProperties(properties);
            sender.openHandler(s -> {
                up = s.<Target>getRemoteTarget() != null;
                bench.note(name + ": the link is " + (up ? "attached" : "rejected"));
                attached.countDown();
            });
            sender.closeHandler(s -> {
                bench.note(name + ": the relay has detached the link, error " + s.getRemoteCondition());
                s.close();
            });
            sender.creditStateUpdateHandler(s -> peer.notifyAll());
            peer.connection.closeHandler(c -> {
                bench.note(name + ": the relay has closed the connection, error " + c.getRemoteCondition());
                moved = c.getRemoteCondition() != null
                        && ConnectionError.CONNECTION_FORCED.equals(
                                c.getRemoteCondition().getCondition());
                c.close();
            });
            bench.note(name + ": attaches link \"orders\", container " + containerId + ", " + properties);
            sender.open();
        }
        peer.startHeartbeats();
        Bench.daemon(name, peer::read);
    }

    AmqpPeer peer() {
        return peer;
    }

    /** Sends a delivery as soon as there is credit; returns false if the connection is over before. */
    boolean send(String text) throws InterruptedException {
        synchronized (peer) {
            while (!sender.isSendable() && peer.ended.getCount() > 0) {
                peer.wait(100);
            }
            if (peer.ended.getCount() == 0) {
                return false;
            }
            OutgoingDelivery delivery = sender.next();
            String tag = Integer.toString(nextTag++);
            delivery.setTag(tag.getBytes(StandardCharsets.US_ASCII));
            delivery.deliveryStateUpdatedHandler(updated -> {
                peer.bench.note(peer.name + ": outcome of \"" + text + "\" (tag " + tag + "): "
                        + updated.getRemoteState() + ", settled " + updated.isRemotelySettled());
                if (updated.isRemotelySettled()) {
                    outcomes.put(text, String.valueOf(updated.getRemoteState()));
                    updated.settle();
                }
            });
            peer.bench.note(peer.name + ": sends \"" + text + "\", tag " + tag);
            delivery.writeBytes(
                    ProtonBufferAllocator.defaultAllocator().copy(text.getBytes(StandardCharsets.UTF_8)));
            return true;
        }
    }
}
