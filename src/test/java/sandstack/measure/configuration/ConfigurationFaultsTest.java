package sandstack.measure.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Random fault schedules; every activated snapshot is checked against the invariants of the distribution. */
class ConfigurationFaultsTest {
    private static final int SCHEDULES = 200;

    /** New schedules in each run of the tests. */
    @Property(tries = 20)
    void noScheduleBreaksARule(@ForAll long seed) {
        assertThat(new RandomFaultSchedule(seed).run().invariants().violations())
                .isEmpty();
    }

    @Test
    void aSeedGivesTheSameRun() {
        RandomFaultSchedule one = new RandomFaultSchedule(7).run();
        RandomFaultSchedule other = new RandomFaultSchedule(7).run();
        assertThat(other.invariants().checkedStates())
                .isEqualTo(one.invariants().checkedStates());
        for (int i = 0; i < one.fleet().relays().size(); i++) {
            Traffic traffic = one.fleet().relays().get(i).traffic();
            assertThat(other.fleet().relays().get(i).traffic().bytes()).isEqualTo(traffic.bytes());
        }
    }

    @Test
    void noDrawnScheduleBreaksARule() {
        List<String> violations = new ArrayList<>();
        Set<String> injectedFaults = new TreeSet<>();
        long states = 0;
        long committed = 0;
        long rejected = 0;
        long slowestMicros = 0;
        for (long seed = 1; seed <= SCHEDULES; seed++) {
            RandomFaultSchedule faults = new RandomFaultSchedule(seed).run();
            for (String violation : faults.invariants().violations()) {
                violations.add("seed " + seed + ": " + violation);
            }
            injectedFaults.addAll(faults.injectedFaults());
            slowestMicros = Math.max(slowestMicros, faults.convergenceMicros());
            states += faults.invariants().checkedStates();
            committed += faults.committedChanges();
            rejected += faults.rejectedChanges();
        }
        System.out.printf(
                "%d schedules, %d changes, %d refused, %d states, equal after %.2f s at most%n",
                SCHEDULES, committed, rejected, states, slowestMicros / (double) RandomFaultSchedule.MICROS_PER_SECOND);
        assertThat(violations).isEmpty();
        assertThat(injectedFaults).hasSize(13);
        assertThat(committed).isGreaterThan(SCHEDULES * 20);
        assertThat(rejected).isGreaterThan(SCHEDULES);
        assertThat(states).isGreaterThan(SCHEDULES * 200L);
    }
}
