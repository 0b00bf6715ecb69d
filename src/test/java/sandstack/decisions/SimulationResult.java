package sandstack.decisions;

import java.util.Arrays;

/**
 * The result of one run of a {@link SimulatedFleet}.
 *
 * @param served served fraction of the wanted priority weight
 * @param servedLast the same of the last third of the run alone
 * @param dropped number of connections that servers dropped
 * @param rejected number of requests that relays rejected or failed
 * @param groupPlaces number of pairs of a group and a server that has connections of it, at the end
 */
record SimulationResult(double served, double servedLast, int dropped, int rejected, int groupPlaces) {
    /** Mean served fraction over runs. */
    static double served(SimulationResult[] results) {
        return Arrays.stream(results)
                .mapToDouble(SimulationResult::served)
                .average()
                .orElseThrow();
    }

    /** The same of the last third of each run. */
    static double servedLast(SimulationResult[] results) {
        return Arrays.stream(results)
                .mapToDouble(SimulationResult::servedLast)
                .average()
                .orElseThrow();
    }

    /** Mean number of connections dropped in a run. */
    static double dropped(SimulationResult[] results) {
        return Arrays.stream(results)
                .mapToInt(SimulationResult::dropped)
                .average()
                .orElseThrow();
    }
}
