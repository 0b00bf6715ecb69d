package sandstack.decisions;

import static org.assertj.core.api.Assertions.assertThat;
import static sandstack.decisions.SimulationResult.dropped;
import static sandstack.decisions.SimulationResult.served;
import static sandstack.decisions.SimulationResult.servedLast;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Runs 100 load balancers while discovery is down, 70 % of the relays are killed and half of the servers are replaced,
 * over 12 seeds with 20 to 23 groups. The means are 0.486 of the weight served, 0.224 in the last third, and 1,101
 * connections dropped, with 112 pairs of group and server at the end; the bounds leave a margin.
 */
class ReleaseDuringDiscoveryOutageTest {
    private static final int SEED_COUNT = 12;

    private static SimulationResult[] simulate(boolean omniscient) {
        return LongStream.rangeClosed(1, SEED_COUNT)
                .parallel()
                .mapToObj(seed -> FleetScenarios.releaseDuringDiscoveryOutage(
                        seed,
                        100,
                        27 + (int) (seed % 3) * 3,
                        400 + (int) (seed % 4) * 20,
                        20 + (int) (seed % 4),
                        omniscient))
                .toArray(SimulationResult[]::new);
    }

    @Test
    void servedWeightAndDropsStayWithinTheirBounds() {
        SimulationResult[] results = simulate(false);
        assertThat(served(results)).as("served fraction of the weight").isGreaterThan(0.465);
        assertThat(servedLast(results))
                .as("served fraction of the weight in the last third")
                .isGreaterThan(0.205);
        assertThat(dropped(results))
                .as("connections that servers dropped per run")
                .isLessThan(1_250);
    }

    /**
     * The loss is due to missing information: placement by the true state of the servers serves most of the weight for
     * the same seeds.
     */
    @Test
    void omniscientPlacementServesMostOfTheLastThird() {
        SimulationResult[] results = simulate(true);
        assertThat(servedLast(results)).as("served fraction in the last third").isGreaterThan(0.6);
    }
}
