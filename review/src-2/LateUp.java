import java.util.ArrayList;
import java.util.List;

/**
 * A feed server begins to drain while the set-up of some connections is under way there. It sends all clients that are
 * up away at once and finishes what it has: the other connections come up. Its process ends 15 s later.
 */
final class LateUp {
    public static void main(String[] args) throws Exception {
        Kit.main(args, 110, LateUp::run);
    }

    private static boolean run(Kit kit) throws Exception {
        FeedServer one = new FeedServer(kit, "feed-1");
        FeedServer two = new FeedServer(kit, "feed-2");
        Discovery discovery = new Discovery(kit);
        discovery.put("feed-1", one.port(), "ready");
        int listen = Kit.freePort();
        var config = kit.config("relay-1", listen, discovery.port(), 1024, 1, discovery.list());
        kit.startRelay("relay", null, Kit.environment("relay-1", config, listen, discovery.port()), null);
        kit.awaitPong(listen);
        List<LineClient> early = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            early.add(new LineClient(kit, listen, "early" + i, "c=order-status,d=3000,g=shop" + i));
            Kit.sleep(100);
        }
        Kit.sleep(500);
        one.setupMillis = 450;
        List<LineClient> late = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            late.add(new LineClient(kit, listen, "late" + i, "c=order-status,d=3000,g=shop" + i));
        }
        Kit.sleep(150);
        discovery.put("feed-2", two.port(), "ready");
        if (Kit.TROUBLE) {
            one.drain();
            discovery.change("feed-1", "draining");
        }
        discovery.change("feed-2", "ready");
        Kit.sleep(15_000);
        int brokenOff = 0;
        if (Kit.TROUBLE) {
            one.end();
            discovery.change("feed-1", "gone");
            Kit.sleep(2000);
        }
        for (LineClient client : late) {
            if (!client.isUp()) {
                throw new Kit.CannotRun("client " + client.id + " did not come up");
            }
        }
        for (List<LineClient> clients : List.of(early, late)) {
            for (LineClient client : clients) {
                boolean lost = client.end != null && !client.wasMoved();
                kit.log("client " + client.id + ": up=" + client.isUp() + " moved=" + client.wasMoved() + " end="
                        + client.end + (lost ? " LOST: its feed server went away and it was not told to move" : ""));
                brokenOff += lost ? 1 : 0;
            }
        }
        return brokenOff == 0;
    }
}
