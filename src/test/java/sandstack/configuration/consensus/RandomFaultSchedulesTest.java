package sandstack.configuration.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Random faults: kills, pauses, one-way cuts, partitioned regions, lost messages.
 * {@code -Dsandstack.consensus.schedules=N} runs more than CI does, {@code -Dsandstack.consensus.first=SEED} from
 * another seed on.
 */
class RandomFaultSchedulesTest {
    private static final int SCHEDULES_PER_RUN = Integer.getInteger("sandstack.consensus.schedules", 25);
    private static final int FIRST_SEED = Integer.getInteger("sandstack.consensus.first", 1);

    @Test
    void randomSchedulesViolateNothing() {
        int committed = 0;
        int faults = 0;
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES_PER_RUN; seed++) {
            RandomFaultSchedule schedule = new RandomFaultSchedule(seed);
            List<String> violations = schedule.run();
            assertThat(violations).as("seed " + seed).isEmpty();
            committed += schedule.cluster.checker.committedChanges();
            faults += schedule.faults;
        }
        System.out.println(SCHEDULES_PER_RUN + " schedules without a violation: " + committed + " changes committed, "
                + faults + " faults");
        // a schedule in which nothing happens would show nothing
        assertThat(committed).isGreaterThan(5 * SCHEDULES_PER_RUN);
        assertThat(faults).isGreaterThan(10 * SCHEDULES_PER_RUN);
    }

    /**
     * Without {@link SnapshotConsistencyCheck} and {@link SnapshotStallDetector} a machine stays behind for good here.
     */
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
        List<String> violations = schedule.run();
        SimulatedMachine first = schedule.cluster.machines.get(0);
        return violations + " " + first.node.current() + " " + schedule.cluster.network.sent.get(first.identity).bytes;
    }
}
