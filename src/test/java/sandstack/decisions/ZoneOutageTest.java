package sandstack.decisions;

import static org.assertj.core.api.Assertions.assertThat;
import static sandstack.decisions.SimulationResult.dropped;
import static sandstack.decisions.SimulationResult.served;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * A third of the servers crashes at once under 90 load balancers, over 24 seeds, first with few connections and then
 * with more. The test guards against placing a group at one server only: a whole group that loses its server then moves
 * to one other server and overloads it. Without subgroups 0.931 and 0.898 of the weight were served and 18 and 84
 * connections dropped; with two subgroups it is 0.965 and 0.918, and 9 and 50.
 */
class ZoneOutageTest {
    private static SimulationResult[] simulate(int clients) {
        return LongStream.rangeClosed(1, 24)
                .parallel()
                .mapToObj(seed -> FleetScenarios.zoneOutage(
                        seed, 90, 21 + (int) (seed % 4) * 3, clients + (int) (seed % 3) * 20, 8 + (int) (seed % 3)))
                .toArray(SimulationResult[]::new);
    }

    @Test
    void groupThatLosesItsServersDoesNotOverloadAnother() {
        SimulationResult[] few = simulate(90);
        assertThat(served(few)).as("served fraction, few connections").isGreaterThan(0.95);
        assertThat(dropped(few))
                .as("connections dropped per run, few connections")
                .isLessThan(14);
        SimulationResult[] more = simulate(150);
        assertThat(served(more)).as("served fraction, more connections").isGreaterThan(0.908);
        assertThat(dropped(more))
                .as("connections dropped per run, more connections")
                .isLessThan(67);
    }
}
