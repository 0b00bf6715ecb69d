package sandstack.measure.configuration;

import java.util.ArrayList;
import java.util.List;
import sandstack.measure.scale.ScaleMeasurement;
import sandstack.measure.scale.Series;

/**
 * Costs and latencies of configuration distribution by the number of relays: real publishers on seven control machines
 * and real followers on up to 5,600 relays, in simulated time on a simulated network. The consensus of the control
 * machines is modelled; its messages and processor time are not included.
 */
public final class ConfigurationScale implements ScaleMeasurement {
    private static final List<Integer> SIZES_FULL = List.of(50, 200, 800, 2_400, 5_600);
    private static final List<Integer> SIZES_QUICK = List.of(50, 800, 2_400);
    private static final List<Integer> SIZES_SMALL = List.of(50, 200, 800);
    private static final FleetScenario.Durations SMALL = new FleetScenario.Durations(20, 1, 20, 10, false);
    private static final FleetScenario.Durations QUICK = new FleetScenario.Durations(10, 1, 15, 5, true);
    private static final FleetScenario.Durations FULL = new FleetScenario.Durations(60, 5, 600, 20, true);
    private static final long SEED = 40;

    @Override
    public String name() {
        return "configuration";
    }

    @Override
    public List<Series> measure(Effort effort) {
        FleetScenario.Durations durations =
                switch (effort) {
                    case SMALL -> SMALL;
                    case QUICK -> QUICK;
                    case FULL -> FULL;
                };
        List<FleetScenarioResult> results = new ArrayList<>();
        for (int relays : sizes(effort)) {
            results.add(new FleetScenario(relays, durations, SEED).run());
        }
        ConfigurationSeries series = new ConfigurationSeries(results);
        List<Series> all = new ArrayList<>();
        all.addAll(series.ofRelays());
        all.addAll(series.ofControlMachines());
        all.addAll(series.latencies());
        if (durations.measuresCosts()) {
            all.addAll(series.costs());
            all.add(ConfigurationHeap.series());
        }
        return all;
    }

    private static List<Integer> sizes(Effort effort) {
        return switch (effort) {
            case SMALL -> SIZES_SMALL;
            case QUICK -> SIZES_QUICK;
            case FULL -> SIZES_FULL;
        };
    }
}
