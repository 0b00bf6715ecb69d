package sandstack.decisions;

import static org.assertj.core.api.Assertions.assertThat;
import static sandstack.decisions.SimulationResult.dropped;
import static sandstack.decisions.SimulationResult.served;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Runs 100 load balancers while all relays restart and half of the servers are replaced, over 12 seeds. The means are
 * 0.475 of the weight served and 1,884 connections dropped; the bounds leave a margin, and a regression of either
 * beyond it fails here within seconds.
 */
class RollingRestartTest {
    private static final int SEED_COUNT = 12;

    private static SimulationResult[] simulate(boolean omniscient) {
        return LongStream.rangeClosed(1, SEED_COUNT)
                .parallel()
                .mapToObj(seed -> FleetScenarios.rollingRestart(
                        seed,
                        100,
                        18 + (int) (seed % 4) * 3,
                        230 + (int) (seed % 3) * 30,
                        10 + (int) (seed % 5),
                        omniscient))
                .toArray(SimulationResult[]::new);
    }

    @Test
    void servedWeightAndDropsStayWithinTheirBounds() {
        SimulationResult[] results = simulate(false);
        assertThat(served(results)).as("served fraction of the weight").isGreaterThan(0.45);
        assertThat(dropped(results))
                .as("connections that servers dropped per run")
                .isLessThan(2_200);
    }

    /**
     * The scenario can be served: placement by the true state of the servers serves nearly everything and drops few
     * connections.
     */
    @Test
    void omniscientPlacementServesNearlyEverything() {
        SimulationResult[] results = simulate(true);
        assertThat(served(results)).isGreaterThan(0.85);
        assertThat(dropped(results)).isLessThan(200);
    }
}
