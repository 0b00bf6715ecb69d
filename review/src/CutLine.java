import java.util.ArrayList;
import java.util.List;

/** One of four feed servers that write in pieces drains: does each client get only lines that its server has written? */
public final class CutLine {
    private static final int FEED_SERVERS = 4;
    private static final int CLIENTS = 120;
    private static final long PIECE_PAUSE_MILLIS = 900;

    private CutLine() {}

    public static void main(String[] args) {
        Bench.main(args[0], CutLine::run);
    }

    private static int run(Bench bench) throws Exception {
        Discovery discovery = new Discovery(bench);
        List<LineFeedServer> servers = LineFeedServer.start(bench, discovery, FEED_SERVERS, PIECE_PAUSE_MILLIS);
        discovery.start();
        int port = Bench.freePort();
        bench.startRelay(bench.project, 0, 1, port, discovery);
        List<Shop> shops = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Shop shop = new Shop(bench, i, port);
            shop.open();
            shops.add(shop);
            Bench.sleep(60);
        }
        int up = 0;
        for (Shop shop : shops) {
            up += shop.isUp() ? 1 : 0;
        }
        bench.note(up + " of " + CLIENTS + " connections are up");
        if (up < CLIENTS / 2) {
            return Bench.CANNOT_RUN;
        }
        Bench.sleep(5000);
        if (bench.trouble) {
            LineFeedServer draining = servers.get(0);
            for (LineFeedServer server : servers) {
                draining = server.linesById.size() > draining.linesById.size() ? server : draining;
            }
            discovery.change(draining.name, draining.port(), "draining");
        }
        Bench.sleep(8000);
        int lines = 0;
        int moved = 0;
        int wrong = 0;
        for (Shop shop : shops) {
            for (LineClient connection : shop.connections) {
                if (!connection.answer.startsWith("UP")) {
                    continue;
                }
                moved += connection.lastLine().equals("MOVE") ? 1 : 0;
                for (String line : connection.received()) {
                    lines++;
                    if (!line.equals("MOVE") && !LineFeedServer.wrote(servers, connection.id, line)) {
                        wrong++;
                        bench.note("WRONG DATA: connection " + connection.id + " brought the line \"" + line
                                + "\", which its feed server has not written");
                    }
                }
            }
        }
        bench.noteLog("n0");
        bench.note("lines received " + lines + ", connections moved " + moved
                + ", lines that the feed server has not written " + wrong);
        return wrong > 0 ? Bench.BROKEN : Bench.HELD;
    }
}
