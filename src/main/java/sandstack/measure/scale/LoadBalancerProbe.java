package sandstack.measure.scale;

import java.util.ArrayDeque;
import java.util.Deque;
import sandstack.measure.scale.LoadBalancerDriver.Connection;

/**
 * Main class of a probe process that measures the load balancer without the rest of the relay. Arguments: the number of
 * feed servers, then increasing numbers of connections, which are the sizes of the printed points.
 */
final class LoadBalancerProbe {
    /** Names of the curves in the output. */
    static final String HEAP = "heap";

    static final String PLACEMENT = "placement";
    static final String DELTA = "change";
    static final String FULL_LIST = "whole-list";
    static final String PERIODIC_UPDATE = "look";

    private static final int WARM_UP_CONNECTIONS = 4_000;
    private static final int WARM_UP_LISTS = 400;
    private static final int WARM_UP_UPDATES = 40;
    private static final int ROUNDS = 5;
    private static final int PLACEMENTS_PER_ROUND = 300;
    private static final int LISTS_PER_ROUND = 20;
    private static final int UPDATES_PER_ROUND = 4;

    private LoadBalancerProbe() {}

    /** Prints one point of each curve for each number of connections. */
    public static void main(String[] arguments) throws Exception {
        int servers = Integer.parseInt(arguments[0]);
        warmUp(servers);
        long emptyHeapBytes = ProbeClock.liveBytes();
        LoadBalancerDriver driver = new LoadBalancerDriver(servers);
        for (int i = 1; i < arguments.length; i++) {
            int connections = Integer.parseInt(arguments[i]);
            driver.establishAll(connections);
            ProbeOutput.print(HEAP, connections, (double) (ProbeClock.liveBytes() - emptyHeapBytes));
            ProbeOutput.print(PLACEMENT, connections, microsPerPlacement(driver));
            ProbeOutput.print(
                    DELTA,
                    connections,
                    ProbeClock.medianMicros(ROUNDS, LISTS_PER_ROUND, () -> driver.sendEndpointDelta(0)));
            ProbeOutput.print(
                    FULL_LIST,
                    connections,
                    ProbeClock.medianMicros(ROUNDS, LISTS_PER_ROUND, driver::sendFullEndpointList));
            ProbeOutput.print(
                    PERIODIC_UPDATE,
                    connections,
                    ProbeClock.medianMicros(ROUNDS, UPDATES_PER_ROUND, driver::runPeriodicUpdate));
        }
    }

    private static void warmUp(int servers) throws Exception {
        LoadBalancerDriver driver = new LoadBalancerDriver(servers);
        driver.establishAll(WARM_UP_CONNECTIONS);
        microsPerPlacement(driver);
        ProbeClock.medianMicros(1, WARM_UP_LISTS, () -> driver.sendEndpointDelta(0));
        ProbeClock.medianMicros(1, WARM_UP_LISTS, driver::sendFullEndpointList);
        ProbeClock.medianMicros(1, WARM_UP_UPDATES, driver::runPeriodicUpdate);
        ProbeClock.liveBytes();
    }

    /** Median processor time of a placement in microseconds; closes the placed connections afterwards. */
    private static double microsPerPlacement(LoadBalancerDriver driver) throws Exception {
        Deque<Connection> connections = new ArrayDeque<>();
        double micros =
                ProbeClock.medianMicros(ROUNDS, PLACEMENTS_PER_ROUND, () -> connections.add(driver.establish()));
        connections.forEach(driver::close);
        return micros;
    }
}
