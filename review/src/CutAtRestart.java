import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Planned restart of one of three relays while feed servers write in pieces: is each client sent MOVE before it is cut
 * off?
 */
public final class CutAtRestart {
    private static final int RELAYS = 3;
    private static final int FEED_SERVERS = 4;
    private static final int CLIENTS = 100;
    private static final long PIECE_PAUSE_MILLIS = 450;
    /** The longest deadline of the settings is 3 s; SIGKILL comes no sooner than 0.7 s after that. */
    private static final long KILL_AFTER_MILLIS = 3_700;

    private CutAtRestart() {}

    public static void main(String[] args) {
        Bench.main(args[0], CutAtRestart::run);
    }

    private static int run(Bench bench) throws Exception {
        Discovery discovery = new Discovery(bench);
        LineFeedServer.start(bench, discovery, FEED_SERVERS, PIECE_PAUSE_MILLIS);
        discovery.start();
        int[] ports = new int[RELAYS];
        List<Process> relays = new ArrayList<>();
        for (int i = 0; i < RELAYS; i++) {
            ports[i] = Bench.freePort();
            relays.add(bench.startRelay(bench.project, i, RELAYS, ports[i], discovery));
        }
        List<Shop> shops = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Shop shop = new Shop(bench, i, ports);
            shop.open();
            shops.add(shop);
            Bench.sleep(60);
        }
        int up = 0;
        for (Shop shop : shops) {
            up += shop.isUp() ? 1 : 0;
        }
        bench.note(up + " of " + CLIENTS + " connections are up at n0");
        if (up < CLIENTS / 2) {
            return Bench.CANNOT_RUN;
        }
        Bench.sleep(5000);
        if (bench.trouble) {
            bench.note("SIGTERM to n0");
            Bench.signal(relays.get(0), "TERM");
            if (relays.get(0).waitFor(KILL_AFTER_MILLIS, TimeUnit.MILLISECONDS)) {
                bench.note("n0 has exited with " + relays.get(0).exitValue());
            } else {
                bench.note("SIGKILL to n0");
                Bench.signal(relays.get(0), "KILL");
            }
        } else {
            Bench.sleep(KILL_AFTER_MILLIS);
        }
        Bench.sleep(1000);
        int moved = 0;
        int cut = 0;
        for (Shop shop : shops) {
            LineClient first = shop.connections.get(0);
            if (first.end.isEmpty() || !first.answer.startsWith("UP")) {
                continue;
            }
            if (first.lastLine().equals("MOVE")) {
                moved++;
            } else {
                cut++;
                bench.note("LOST: connection " + first.id + " was cut off without MOVE while its feed server still"
                        + " answered; its client was left with \"" + first.partial + "\"");
            }
        }
        bench.noteLog("n0");
        bench.note("connections up at n0 " + up + ", moved " + moved + ", cut off without MOVE " + cut);
        return cut > 0 ? Bench.BROKEN : Bench.HELD;
    }
}
