import java.util.ArrayList;
import java.util.List;

/**
 * A client sends orders over AMQP, each of which the feed server accepts and settles. The feed server drains, and the
 * client comes again under the same container id and link name; it has nothing unsettled. It sends settled stock counts,
 * whose tags begin anew: a tag is free again once its delivery is settled.
 */
final class ReusedTag {
    public static void main(String[] args) throws Exception {
        Kit.main(args, 110, ReusedTag::run);
    }

    private static boolean run(Kit kit) throws Exception {
        AmqpPeer.Server one = new AmqpPeer.Server(kit, "feed-1");
        AmqpPeer.Server two = new AmqpPeer.Server(kit, "feed-2");
        Discovery discovery = new Discovery(kit);
        discovery.put("feed-1", one.port(), "ready");
        int listen = Kit.freePort();
        int amqp = Kit.freePort();
        var config = kit.config("relay-1", listen, discovery.port(), 1024, 1, discovery.list());
        kit.startRelay(
                "relay", kit.rootWithAmqp(amqp), Kit.environment("relay-1", config, listen, discovery.port()), null);
        kit.awaitPong(listen);
        Kit.sleep(500);
        List<String> accepted = new ArrayList<>();
        AmqpPeer.Client client = new AmqpPeer.Client(kit, "client", amqp, "tablet-7", "orders", false, null);
        client.awaitAttached();
        for (int i = 0; i < 3; i++) {
            send(client, (byte) i, "order-" + i, accepted);
        }
        if (Kit.TROUBLE) {
            discovery.put("feed-2", two.port(), "ready");
            discovery.change("feed-1", "draining");
            discovery.change("feed-2", "ready");
            one.drain();
            for (int i = 0; i < 300 && client.peer.remoteClose == null; i++) {
                Kit.sleep(10);
            }
            if (client.peer.remoteClose == null) {
                throw new Kit.CannotRun("the client was not told to move");
            }
            client.peer.close();
            Kit.sleep(800);
            client = new AmqpPeer.Client(kit, "client again", amqp, "tablet-7", "orders", true, null);
            client.awaitAttached();
        }
        for (int i = 0; i < 3; i++) {
            client.sendSettled((byte) i, "stock-count-" + i);
        }
        Kit.sleep(2000);
        if (accepted.size() < 3) {
            throw new Kit.CannotRun("the first deliveries were not accepted");
        }
        boolean held = true;
        for (String text : List.of("order-0", "order-1", "order-2", "stock-count-0", "stock-count-1", "stock-count-2")) {
            boolean received = one.messages.contains(text) || two.messages.contains(text);
            kit.log(text + ": " + (received ? "a" : "NO") + " feed server received it");
            held &= received;
        }
        kit.log("client: connection still up: " + (!client.peer.ended && client.peer.remoteClose == null));
        return held;
    }

    private static void send(AmqpPeer.Client client, byte tag, String text, List<String> accepted) {
        String outcome = client.send(tag, text, 3000);
        if (outcome != null && outcome.startsWith("Accepted")) {
            accepted.add(text);
        }
    }
}
