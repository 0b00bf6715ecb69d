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
public final class LoadBalancerScale implements ScaleMeasurement {
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
    private static final int MAX_SERVERS_QUICK = 300;
    private static final int[] SERVERS_FULL = {100, 250, 500};
    private static final int MAX_SERVERS_FULL = 1_000;
    private static final int FEW_SERVERS = 10;

    @Override
    public String name() {
        return "decision";
    }

    @Override
    public List<Series> measure(Effort effort) throws Exception {
        if (effort == Effort.SMALL) {
            return stateSeries();
        }
        boolean full = effort == Effort.FULL;
        int maxServers = full ? MAX_SERVERS_FULL : MAX_SERVERS_QUICK;
        int[] connections = full ? CONNECTIONS_FULL : CONNECTIONS_QUICK;
        SortedMap<Integer, ProbeOutput> outputs = new TreeMap<>();
        for (int count : full ? SERVERS_FULL : SERVERS_QUICK) {
            outputs.put(count, ProbeProcess.run(LoadBalancerProbe.class, count, connections[0]));
        }
        ProbeOutput largest = ProbeProcess.run(LoadBalancerProbe.class, arguments(maxServers, connections));
        outputs.put(maxServers, largest);
        List<Series> all = new ArrayList<>(byConnections(maxServers, largest));
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
                        output.points(LoadBalancerProbe.HEAP)),
                time(
                        "decision.placement",
                        Role.RELAY_PLACEMENT,
                        CONNECTIONS,
                        fixed,
                        "a placement",
                        output,
                        LoadBalancerProbe.PLACEMENT),
                time(
                        "decision.list-change",
                        Role.RELAY_CONTROL,
                        CONNECTIONS,
                        fixed,
                        "a list that changes one feed server",
                        output,
                        LoadBalancerProbe.DELTA),
                time(
                        "decision.whole-list",
                        Role.RELAY_CONTROL,
                        CONNECTIONS,
                        fixed,
                        "a whole list with nothing new",
                        output,
                        LoadBalancerProbe.FULL_LIST),
                time(
                        "decision.look",
                        Role.RELAY_PLACEMENT,
                        CONNECTIONS,
                        fixed,
                        sweepName(),
                        output,
                        LoadBalancerProbe.SWEEP));
    }

    private static String sweepName() {
        return "a look at the whole, due each " + LoadBalancerDriver.SWEEP_INTERVAL_MICROS / 1000 + " ms";
    }

    private static List<Series> byServers(SortedMap<Integer, ProbeOutput> outputs, int connections) {
        List<Point> heap = new ArrayList<>();
        List<Point> placement = new ArrayList<>();
        List<Point> change = new ArrayList<>();
        List<Point> whole = new ArrayList<>();
        List<Point> look = new ArrayList<>();
        outputs.forEach((servers, output) -> {
            heap.add(pointAt(servers, output, LoadBalancerProbe.HEAP));
            placement.add(pointAt(servers, output, LoadBalancerProbe.PLACEMENT));
            change.add(pointAt(servers, output, LoadBalancerProbe.DELTA));
            whole.add(pointAt(servers, output, LoadBalancerProbe.FULL_LIST));
            look.add(pointAt(servers, output, LoadBalancerProbe.SWEEP));
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
                time("decision.look-by-servers", Role.RELAY_PLACEMENT, fixed, sweepName(), look));
    }

    private static Point pointAt(int servers, ProbeOutput output, String curve) {
        return new Point(servers, output.points(curve).get(0).value());
    }

    private static Series time(
            String id, Role role, String per, String fixed, String what, ProbeOutput output, String curve) {
        return new Series(id, role, Resource.PROCESSOR, "microseconds", per, fixed + TIME + what, output.points(curve));
    }

    private static Series time(String id, Role role, String fixed, String what, List<Point> points) {
        return new Series(id, role, Resource.PROCESSOR, "microseconds", SERVERS, fixed + TIME + what, points);
    }

    private static int[] arguments(int first, int[] others) {
        int[] all = new int[others.length + 1];
        all[0] = first;
        System.arraycopy(others, 0, all, 1, others.length);
        return all;
    }

    private static List<Series> stateSeries() {
        List<Point> byConnections = new ArrayList<>();
        for (int connections : CONNECTIONS_SMALL) {
            byConnections.add(new Point(connections, reachableState(FEW_SERVERS, connections)));
        }
        List<Point> byServers = new ArrayList<>();
        for (int servers : SERVERS_SMALL) {
            byServers.add(new Point(servers, reachableState(servers, 0)));
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

    private static long reachableState(int servers, int connections) {
        LoadBalancerDriver driver = new LoadBalancerDriver(servers);
        driver.establishAll(connections);
        ReachableObjects.Count count = ReachableObjects.countFrom(driver.loadBalancer());
        return count.objects() + count.entries();
    }
}
