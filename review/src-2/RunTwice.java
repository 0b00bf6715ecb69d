import java.util.ArrayList;
import java.util.List;

/**
 * A client sends deliveries over AMQP, which its feed server receives and has not answered yet. The client detaches its
 * link without closing it (a detach with closed=false, which suspends the link) and leaves. It comes again under the
 * same container id and link name, names the deliveries in its unsettled map, and sends them again under their tags.
 */
final class RunTwice {
    private static final int DELIVERIES = 6;

    public static void main(String[] args) throws Exception {
        Kit.main(args, 110, RunTwice::run);
    }

    private static boolean run(Kit kit) throws Exception {
        AmqpPeer.Server feedServer = new AmqpPeer.Server(kit, "feed-1");
        Discovery discovery = new Discovery(kit);
        discovery.put("feed-1", feedServer.port(), "ready");
        int listen = Kit.freePort();
        int amqp = Kit.freePort();
        var config = kit.config("relay-1", listen, discovery.port(), 1024, 1, discovery.list());
        kit.startRelay(
                "relay", kit.rootWithAmqp(amqp), Kit.environment("relay-1", config, listen, discovery.port()), null);
        kit.awaitPong(listen);
        Kit.sleep(500);
        AmqpPeer.Client client = new AmqpPeer.Client(kit, "client", amqp, "tablet-7", "orders", false, null);
        client.awaitAttached();
        // with the disruption, the client leaves before the outcomes
        feedServer.sendsOutcomes = !Kit.TROUBLE;
        List<Byte> unsettled = new ArrayList<>();
        for (byte tag = 0; tag < DELIVERIES; tag++) {
            String outcome = client.send(tag, "order-" + tag, Kit.TROUBLE ? 100 : 3000);
            if (outcome == null) {
                unsettled.add(tag);
            }
        }
        Kit.sleep(500);
        if (feedServer.messages.size() < DELIVERIES) {
            throw new Kit.CannotRun("the feed server did not receive the deliveries");
        }
        kit.log("feed-1: has received " + feedServer.messages);
        kit.log("client: detaches its link without closing it, and leaves; unsettled tags " + unsettled);
        AmqpPeer.Client leaving = client;
        client.peer.run(() -> {
            leaving.sender.detach();
            leaving.peer.connection.close();
        });
        Kit.sleep(300);
        client.peer.close();
        Kit.sleep(500);
        feedServer.sendsOutcomes = true;
        AmqpPeer.Client again =
                new AmqpPeer.Client(kit, "client again", amqp, "tablet-7", "orders", true, unsettled);
        again.awaitAttached();
        for (byte tag : unsettled) {
            again.send(tag, "order-" + tag, 3000);
        }
        Kit.sleep(500);
        boolean held = true;
        for (byte tag = 0; tag < DELIVERIES; tag++) {
            String order = "order-" + tag;
            long runs = feedServer.messages.stream().filter(order::equals).count();
            kit.log(order + ": forwarded to the feed server " + runs + " times");
            held &= runs == 1;
        }
        return held;
    }
}
