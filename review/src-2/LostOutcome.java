import java.util.ArrayList;
import java.util.List;

/**
 * A feed server accepts a client's deliveries over AMQP, and the client's connection breaks before the outcomes reach
 * it. The client comes again under the same container id and link name and sends the deliveries again under their tags.
 */
final class LostOutcome {
    private static final int DELIVERIES = 6;

    public static void main(String[] args) throws Exception {
        Kit.main(args, 110, LostOutcome::run);
    }

    private static boolean run(Kit kit) throws Exception {
        AmqpPeer.Server feedServer = new AmqpPeer.Server(kit, "feed-1", 0);
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
        if (Kit.TROUBLE) {
            // what the relay sends from now on does not reach the client
            client.peer.readPauseMillis = 60_000;
            client.peer.kit.log("client: nothing reaches it any more");
            Kit.sleep(100);
        }
        List<Byte> unsettled = new ArrayList<>();
        List<String> outcomes = new ArrayList<>();
        for (byte tag = 0; tag < DELIVERIES; tag++) {
            String outcome = client.send(tag, "order-" + tag, Kit.TROUBLE ? 100 : 3000);
            if (outcome == null) {
                unsettled.add(tag);
            }
            outcomes.add(outcome);
        }
        Kit.sleep(500);
        if (feedServer.messages.size() < DELIVERIES) {
            throw new Kit.CannotRun("the feed server did not receive the deliveries");
        }
        kit.log("feed-1: has run and accepted " + feedServer.messages);
        if (Kit.TROUBLE) {
            kit.log("client: the connection breaks; unsettled tags " + unsettled);
            client.peer.reset();
            Kit.sleep(800);
            AmqpPeer.Client again =
                    new AmqpPeer.Client(kit, "client again", amqp, "tablet-7", "orders", true, unsettled);
            again.awaitAttached();
            for (byte tag : unsettled) {
                outcomes.set(tag, again.send(tag, "order-" + tag, 3000));
            }
            for (byte tag : unsettled) {
                if (String.valueOf(outcomes.get(tag)).startsWith("Modified")) {
                    // told that the delivery failed, the client sends the order under a new tag
                    again.send((byte) (100 + tag), "order-" + tag, 3000);
                }
            }
        }
        Kit.sleep(500);
        boolean held = true;
        for (byte tag = 0; tag < DELIVERIES; tag++) {
            String order = "order-" + tag;
            long runs = feedServer.messages.stream().filter(order::equals).count();
            String outcome = String.valueOf(outcomes.get(tag));
            kit.log(order + ": the feed server's outcome was Accepted, the client received " + outcome + "; run " + runs
                    + " times");
            held &= outcome.startsWith("Accepted") && runs == 1;
        }
        return held;
    }
}
