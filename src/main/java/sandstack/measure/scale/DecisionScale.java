package sandstack.measure.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import sandstack.measure.scale.Series.Point;

/**
 * What the decision module alone keeps and takes, by standing connections and by feed servers. With {@link Effort#SMALL}
 * it counts the entries that it keeps, in this process.
 */
public final class DecisionScale implements ScaleMeasurement {
    private static final String CONNECTIONS = "connections";
    private static final String SERVERS = "feed servers";
    private static final String METHOD =
            "the decision module alone in a process of its own, with compiler and collector "
                    + "of run and a heap of 1 GB, fed the events of a relay; ";
    private static final String TIME = "median of five rounds, processor time of its thread; ";
    private static final int[] CONNECTIONS_SMALL = {200, 400, 800};
    private static final int[] SERVERS_SMALL = {50, 100, 200};
    private static final int[] CONNECTIONS_QUICK = {2_000, 8_000, 16_000};
    private static final int[] CONNECTIONS_FULL = {8_000, 20_000, 40_000, 80_400};
    private static final int[] SERVERS_QUICK = {100, 200};
    private static final int MOST_SERVERS_QUICK = 300;
    private static final int[] SERVERS_FULL = {100, 250, 500};
    private static final int MOST_SERVERS_FULL = 1_000;
    private static final int FEW_SERVERS = 10;

    @Override
    public String name() {
        return "decision";
    }

    @Override
    public List<Series> measure(Effort effort) throws Exception {
        if (effort == Effort.SMALL) {
            return counts();
        }
        boolean full = effort == Effort.FULL;
        int most = full ? MOST_SERVERS_FULL : MOST_SERVERS_QUICK;
        int[] connections = full ? CONNECTIONS_FULL : CONNECTIONS_QUICK;
        SortedMap<Integer, ProbeOutput> outputs = new TreeMap<>();
        for (int count : full ? SERVERS_FULL : SERVERS_QUICK) {
            outputs.put(count, ProbeProcess.run(DecisionProbe.class, count, connections[0]));
        }
        ProbeOutput largest = ProbeProcess.run(DecisionProbe.class, joined(most, connections));
        outputs.put(most, largest);
        List<Series> all = new ArrayList<>(byConnections(most, largest));
        all.addAll(byServers(outputs, connections[0]));
        return all;
    }

    private static List<Series> byConnections(int servers, ProbeOutput output) {
        String fixed = METHOD + servers + " feed servers; ";
        return List.of(
                new Series(
                        "decision.heap",
                        Role.RELAY_PLACEMENT,
                        Resource.MEMORY,
                        "bytes",
                        CONNECTIONS,
                        fixed + "heap after a full collection, with the names of connections, keys and groups",
                        output.points(DecisionProbe.HEAP)),
                time(
                        "decision.placement",
                        Role.RELAY_PLACEMENT,
                        CONNECTIONS,
                        fixed,
                        "a placement",
                        output,
                        DecisionProbe.PLACEMENT),
                time(
                        "decision.list-change",
                        Role.RELAY_CONTROL,
                        CONNECTIONS,
                        fixed,
                        "a list that changes one feed server",
                        output,
                        DecisionProbe.CHANGE),
                time(
                        "decision.whole-list",
                        Role.RELAY_CONTROL,
                        CONNECTIONS,
                        fixed,
                        "a whole list with nothing new",
                        output,
                        DecisionProbe.WHOLE_LIST),
                time(
                        "decision.look",
                        Role.RELAY_PLACEMENT,
                        CONNECTIONS,
                        fixed,
                        lookName(),
                        output,
                        DecisionProbe.LOOK));
    }

    private static String lookName() {
        return "a look at the whole, due each " + DecisionDriver.LOOK_MICROS / 1000 + " ms";
    }

    private static List<Series> byServers(SortedMap<Integer, ProbeOutput> outputs, int connections) {
        List<Point> heap = new ArrayList<>();
        List<Point> placement = new ArrayList<>();
        List<Point> change = new ArrayList<>();
        List<Point> whole = new ArrayList<>();
        List<Point> look = new ArrayList<>();
        outputs.forEach((servers, output) -> {
            heap.add(at(servers, output, DecisionProbe.HEAP));
            placement.add(at(servers, output, DecisionProbe.PLACEMENT));
            change.add(at(servers, output, DecisionProbe.CHANGE));
            whole.add(at(servers, output, DecisionProbe.WHOLE_LIST));
            look.add(at(servers, output, DecisionProbe.LOOK));
        });
        String fixed = METHOD + connections + " connections; ";
        return List.of(
                new Series(
                        "decision.heap-by-servers",
                        Role.RELAY_PLACEMENT,
                        Resource.MEMORY,
                        "bytes",
                        SERVERS,
                        fixed + "heap after a full collection",
                        heap),
                time("decision.placement-by-servers", Role.RELAY_PLACEMENT, fixed, "a placement", placement),
                time(
                        "decision.list-change-by-servers",
                        Role.RELAY_CONTROL,
                        fixed,
                        "a list that changes one feed server",
                        change),
                time(
                        "decision.whole-list-by-servers",
                        Role.RELAY_CONTROL,
                        fixed,
                        "a whole list with nothing new",
                        whole),
                time("decision.look-by-servers", Role.RELAY_PLACEMENT, fixed, lookName(), look));
    }

    private static Point at(int servers, ProbeOutput output, String curve) {
        return new Point(servers, output.points(curve).get(0).value());
    }

    private static Series time(
            String id, Role role, String per, String fixed, String what, ProbeOutput output, String curve) {
        return new Series(id, role, Resource.PROCESSOR, "microseconds", per, fixed + TIME + what, output.points(curve));
    }

    private static Series time(String id, Role role, String fixed, String what, List<Point> points) {
        return new Series(id, role, Resource.PROCESSOR, "microseconds", SERVERS, fixed + TIME + what, points);
    }

    private static int[] joined(int first, int[] others) {
        int[] all = new int[others.length + 1];
        all[0] = first;
        System.arraycopy(others, 0, all, 1, others.length);
        return all;
    }

    private static List<Series> counts() {
        List<Point> byConnections = new ArrayList<>();
        for (int connections : CONNECTIONS_SMALL) {
            byConnections.add(new Point(connections, kept(FEW_SERVERS, connections)));
        }
        List<Point> byServers = new ArrayList<>();
        for (int servers : SERVERS_SMALL) {
            byServers.add(new Point(servers, kept(servers, 0)));
        }
        String how = "the decision module alone: its objects and the entries of its maps and lists, counted; ";
        return List.of(
                new Series(
                        "decision.entries",
                        Role.RELAY_PLACEMENT,
                        Resource.STATE,
                        "entries",
                        CONNECTIONS,
                        how + FEW_SERVERS + " feed servers",
                        byConnections),
                new Series(
                        "decision.entries-by-servers",
                        Role.RELAY_PLACEMENT,
                        Resource.STATE,
                        "entries",
                        SERVERS,
                        how + "no connections",
                        byServers));
    }

    private static long kept(int servers, int connections) {
        DecisionDriver driver = new DecisionDriver(servers);
        driver.standUp(connections);
        ReachableObjects.Count count = ReachableObjects.from(driver.brain());
        return count.objects() + count.entries();
    }
}
