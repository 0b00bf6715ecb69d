package sandstack.decisions;

import java.util.Arrays;

/**
 * What came of a day.
 *
 * @param served part of the worth that was wanted
 * @param servedLast the same of the last third of the day alone
 * @param dropped connections that servers dropped
 * @param pairs of a group and a server that holds some of it, at the end
 */
record SimulationResult(double served, double servedLast, int dropped, int refused, int pairs) {
    /** Mean part of the worth served over days. */
    static double served(SimulationResult[] days) {
        return Arrays.stream(days)
                .mapToDouble(SimulationResult::served)
                .average()
                .orElseThrow();
    }

    /** The same of the last third of each day. */
    static double servedLast(SimulationResult[] days) {
        return Arrays.stream(days)
                .mapToDouble(SimulationResult::servedLast)
                .average()
                .orElseThrow();
    }

    /** Mean connections dropped a day. */
    static double dropped(SimulationResult[] days) {
        return Arrays.stream(days).mapToInt(SimulationResult::dropped).average().orElseThrow();
    }
}
