package sandstack.measure.scale;

import java.util.ArrayDeque;
import java.util.Deque;
import sandstack.measure.scale.DecisionDriver.Placed;

/**
 * Measures the decision module alone, at one number of servers and rising numbers of connections. The arguments are the
 * servers, then the connections. The size that is printed is that of the connections.
 */
final class DecisionProbe {
    static final String HEAP = "heap";
    static final String PLACEMENT = "placement";
    static final String CHANGE = "change";
    static final String WHOLE_LIST = "whole-list";
    static final String LOOK = "look";

    private static final int WARM_UP = 4_000;
    private static final int WARM_UP_LISTS = 400;
    private static final int WARM_UP_LOOKS = 40;
    private static final int ROUNDS = 5;
    private static final int PLACEMENTS = 300;
    private static final int LISTS = 20;
    private static final int LOOKS = 4;

    private DecisionProbe() {}

    /** Prints a point of each curve for each number of connections. */
    public static void main(String[] sizes) throws Exception {
        int servers = Integer.parseInt(sizes[0]);
        warmUp(servers);
        long empty = ProbeClock.liveBytes();
        DecisionDriver driver = new DecisionDriver(servers);
        for (int i = 1; i < sizes.length; i++) {
            int connections = Integer.parseInt(sizes[i]);
            driver.standUp(connections);
            ProbeOutput.print(HEAP, connections, ProbeClock.liveBytes() - empty);
            ProbeOutput.print(PLACEMENT, connections, placement(driver));
            ProbeOutput.print(CHANGE, connections, ProbeClock.microsEach(ROUNDS, LISTS, () -> driver.tellChange(0)));
            ProbeOutput.print(WHOLE_LIST, connections, ProbeClock.microsEach(ROUNDS, LISTS, driver::tellWholeList));
            ProbeOutput.print(LOOK, connections, ProbeClock.microsEach(ROUNDS, LOOKS, driver::look));
        }
    }

    private static void warmUp(int servers) throws Exception {
        DecisionDriver driver = new DecisionDriver(servers);
        driver.standUp(WARM_UP);
        placement(driver);
        ProbeClock.microsEach(1, WARM_UP_LISTS, () -> driver.tellChange(0));
        ProbeClock.microsEach(1, WARM_UP_LISTS, driver::tellWholeList);
        ProbeClock.microsEach(1, WARM_UP_LOOKS, driver::look);
        ProbeClock.liveBytes();
    }

    /** Microseconds a placement; those that were placed for it end afterwards. */
    private static double placement(DecisionDriver driver) throws Exception {
        Deque<Placed> placed = new ArrayDeque<>();
        double micros = ProbeClock.microsEach(ROUNDS, PLACEMENTS, () -> placed.add(driver.place()));
        placed.forEach(driver::end);
        return micros;
    }
}
