package sandstack.decisions;

import java.util.Arrays;

/**
 * The result of one run of a {@link SimulatedFleet}.
 *
 * @param served served fraction of the requested priority weight
 * @param servedLast the same fraction in the last third of the run
 * @param dropped number of connections that servers dropped
 * @param rejected number of requests that relays rejected or failed
 * @param groupServerPairs number of pairs of a group and a server with connections of it, at the end
 */
record SimulationResult(double served, double servedLast, int dropped, int rejected, int groupServerPairs) {
    /** Mean served fraction over all runs. */
    static double served(SimulationResult[] results) {
        return Arrays.stream(results)
                .mapToDouble(SimulationResult::served)
                .average()
                .orElseThrow();
    }

    /** Mean served fraction in the last third, over all runs. */
    static double servedLast(SimulationResult[] results) {
        return Arrays.stream(results)
                .mapToDouble(SimulationResult::servedLast)
                .average()
                .orElseThrow();
    }

    /** Mean number of dropped connections per run. */
    static double dropped(SimulationResult[] results) {
        return Arrays.stream(results)
                .mapToInt(SimulationResult::dropped)
                .average()
                .orElseThrow();
    }
}
