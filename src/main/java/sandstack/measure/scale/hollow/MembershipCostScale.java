package sandstack.measure.scale.hollow;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import sandstack.measure.scale.Resource;
import sandstack.measure.scale.Role;
import sandstack.measure.scale.ScaleMeasurement;
import sandstack.measure.scale.Series;
import sandstack.measure.scale.hollow.MembershipCost.Costs;

/** Memory and processor time of one relay's membership, by the number of relays in the fleet. */
public final class MembershipCostScale implements ScaleMeasurement {
    private static final String PER = "relays";
    private static final String METHOD = "one membership of the program in a process, its peers answer in memory on a"
            + " simulated clock, thread time without codec and network";
    private static final int[] QUICK = {50, 100, 200, 400};
    private static final int[] FULL = {50, 200, 400, 800, 1_000, 2_400, 5_600};

    @Override
    public String name() {
        return "membership-cost";
    }

    /** Returns no series with {@link Effort#SMALL}, because none of these costs is deterministic. */
    @Override
    public List<Series> measure(Effort effort) {
        if (effort == Effort.SMALL) {
            return List.of();
        }
        MembershipCost.measure(QUICK[0]); // warm-up
        List<Costs> costs = new ArrayList<>();
        String truncation = "";
        for (int size : effort == Effort.FULL ? FULL : QUICK) {
            try {
                costs.add(MembershipCost.measure(size));
            } catch (IllegalArgumentException unsupported) {
                truncation = String.format(Locale.ROOT, "; ends before %d relays: %s", size, unsupported.getMessage());
                break;
            }
        }
        return List.of(
                series("membership.heap", Resource.MEMORY, "bytes", truncation, costs, Costs::heapBytes),
                series(
                        "membership.processor",
                        Resource.PROCESSOR,
                        "ms a second",
                        truncation,
                        costs,
                        Costs::cpuMillisPerSecond),
                series("membership.view", Resource.PROCESSOR, "ms", truncation, costs, Costs::viewMillis),
                series("membership.change-heard", Resource.PROCESSOR, "ms", truncation, costs, Costs::stateMillis),
                series("membership.all-join", Resource.PROCESSOR, "seconds", truncation, costs, Costs::joinSeconds));
    }

    private static Series series(
            String id,
            Resource resource,
            String unit,
            String truncation,
            List<Costs> samples,
            ToDoubleFunction<Costs> value) {
        return new Series(
                id,
                Role.RELAY_CONTROL,
                resource,
                unit,
                PER,
                METHOD + truncation,
                Series.points(samples, Costs::relays, value));
    }
}
