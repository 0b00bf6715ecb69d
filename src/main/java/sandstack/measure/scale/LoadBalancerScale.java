package sandstack.measure.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import sandstack.measure.scale.Series.Point;

/**
 * Memory and processor time of the load balancer without the rest of the relay, by the number of established
 * connections and of feed servers. With {@link Effort#SMALL}, the objects and entries of its state are counted in this
 * process instead.
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

    /** Operations of the load balancer whose processor time is measured. */
    private enum Operation {
        PLACEMENT("placement", Role.RELAY_PLACEMENT, "a placement"),
        LIST_DELTA("list-change", Role.RELAY_CONTROL, "a list that changes one feed server"),
        FULL_LIST("whole-list", Role.RELAY_CONTROL, "a whole list with nothing new"),
        PERIODIC_UPDATE(
                "look",
                Role.RELAY_PLACEMENT,
                "a look at the whole, due each " + LoadBalancerDriver.UPDATE_INTERVAL_MICROS / 1000 + " ms");

        private final String id;
        private final Role role;
        private final String description;

        Operation(String id, Role role, String description) {
            this.id = id;
            this.role = role;
            this.description = description;
        }
    }

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
        String methodPrefix = METHOD + servers + " feed servers; ";
        return List.of(
                new Series(
                        "decision.heap",
                        Role.RELAY_PLACEMENT,
                        Resource.MEMORY,
                        "bytes",
                        CONNECTIONS,
                        methodPrefix + "heap after a full collection, with the names of connections, keys and groups",
                        output.points(LoadBalancerProbe.HEAP)),
                time(Operation.PLACEMENT, "", CONNECTIONS, methodPrefix, output.points(LoadBalancerProbe.PLACEMENT)),
                time(Operation.LIST_DELTA, "", CONNECTIONS, methodPrefix, output.points(LoadBalancerProbe.DELTA)),
                time(Operation.FULL_LIST, "", CONNECTIONS, methodPrefix, output.points(LoadBalancerProbe.FULL_LIST)),
                time(
                        Operation.PERIODIC_UPDATE,
                        "",
                        CONNECTIONS,
                        methodPrefix,
                        output.points(LoadBalancerProbe.PERIODIC_UPDATE)));
    }

    private static List<Series> byServers(SortedMap<Integer, ProbeOutput> outputs, int connections) {
        String methodPrefix = METHOD + connections + " connections; ";
        return List.of(
                new Series(
                        "decision.heap-by-servers",
                        Role.RELAY_PLACEMENT,
                        Resource.MEMORY,
                        "bytes",
                        SERVERS,
                        methodPrefix + "heap after a full collection",
                        pointsByServers(outputs, LoadBalancerProbe.HEAP)),
                timeByServers(Operation.PLACEMENT, methodPrefix, outputs, LoadBalancerProbe.PLACEMENT),
                timeByServers(Operation.LIST_DELTA, methodPrefix, outputs, LoadBalancerProbe.DELTA),
                timeByServers(Operation.FULL_LIST, methodPrefix, outputs, LoadBalancerProbe.FULL_LIST),
                timeByServers(Operation.PERIODIC_UPDATE, methodPrefix, outputs, LoadBalancerProbe.PERIODIC_UPDATE));
    }

    private static Series timeByServers(
            Operation operation, String methodPrefix, SortedMap<Integer, ProbeOutput> outputs, String curve) {
        return time(operation, "-by-servers", SERVERS, methodPrefix, pointsByServers(outputs, curve));
    }

    /** The first point of a curve at each number of servers. */
    private static List<Point> pointsByServers(SortedMap<Integer, ProbeOutput> outputs, String curve) {
        List<Point> points = new ArrayList<>();
        outputs.forEach((servers, output) ->
                points.add(new Point(servers, output.points(curve).get(0).value())));
        return points;
    }

    private static Series time(
            Operation operation, String idSuffix, String per, String methodPrefix, List<Point> points) {
        return new Series(
                "decision." + operation.id + idSuffix,
                operation.role,
                Resource.PROCESSOR,
                "microseconds",
                per,
                methodPrefix + TIME + operation.description,
                points);
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
        String methodPrefix = "the decision module alone: its objects and the entries of its maps and lists, counted; ";
        return List.of(
                new Series(
                        "decision.entries",
                        Role.RELAY_PLACEMENT,
                        Resource.STATE,
                        "entries",
                        CONNECTIONS,
                        methodPrefix + FEW_SERVERS + " feed servers",
                        byConnections),
                new Series(
                        "decision.entries-by-servers",
                        Role.RELAY_PLACEMENT,
                        Resource.STATE,
                        "entries",
                        SERVERS,
                        methodPrefix + "no connections",
                        byServers));
    }

    private static long reachableState(int servers, int connections) {
        LoadBalancerDriver driver = new LoadBalancerDriver(servers);
        driver.establishAll(connections);
        ReachableObjects.Count count = ReachableObjects.countFrom(driver.loadBalancer());
        return count.objects() + count.entries();
    }
}
