package sandstack.configuration.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Drawn faults: kills, pauses, one-way cuts, regions apart, lost messages. {@code -Dsandstack.consensus.schedules=N}
 * plays more than CI does, {@code -Dsandstack.consensus.first=SEED} from another seed on.
 */
class RandomFaultSchedulesTest {
    private static final int SCHEDULES_PER_RUN = Integer.getInteger("sandstack.consensus.schedules", 25);
    private static final int FIRST_SEED = Integer.getInteger("sandstack.consensus.first", 1);

    @Test
    void randomSchedulesViolateNothing() {
        int agreed = 0;
        int faults = 0;
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES_PER_RUN; seed++) {
            RandomFaultSchedule schedule = new RandomFaultSchedule(seed);
            List<String> breaches = schedule.run();
            assertThat(breaches).as("seed " + seed).isEmpty();
            agreed += schedule.cluster.checker.committedChanges();
            faults += schedule.faults;
        }
        System.out.println(
                SCHEDULES_PER_RUN + " schedules kept: " + agreed + " changes agreed on, " + faults + " faults");
        // a schedule in which nothing happens would show nothing
        assertThat(agreed).isGreaterThan(5 * SCHEDULES_PER_RUN);
        assertThat(faults).isGreaterThan(10 * SCHEDULES_PER_RUN);
    }

    /** In these a machine stayed behind for good, before {@link SnapshotConsistencyCheck} and {@link SnapshotStallDetector}. */
    @Test
    void regressionSeedsConverge() {
        for (long seed : new long[] {1081, 1089, 20242}) {
            assertThat(new RandomFaultSchedule(seed).run()).as("seed " + seed).isEmpty();
        }
    }

    @Test
    void sameSeedReproducesTheSameRun() {
        assertThat(outcomeOf(7)).isEqualTo(outcomeOf(7));
    }

    private static String outcomeOf(long seed) {
        RandomFaultSchedule schedule = new RandomFaultSchedule(seed);
        List<String> breaches = schedule.run();
        SimulatedMachine any = schedule.cluster.machines.get(0);
        return breaches + " " + any.node.current() + " " + schedule.cluster.network.sent.get(any.identity).bytes;
    }
}
