package sandstack.measure.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Runs random fault schedules and checks every activated snapshot against {@link DistributionInvariants}. */
class ConfigurationFaultsTest {
    private static final int SCHEDULES = 200;

    /** Runs other schedules in each run of the tests, from random seeds. */
    @Property(tries = 20)
    void randomScheduleViolatesNoInvariant(@ForAll long seed) {
        assertThat(new DistributionFaultSchedule(seed).run().invariants().violations())
                .isEmpty();
    }

    @Test
    void sameSeedGivesSameRun() {
        DistributionFaultSchedule one = new DistributionFaultSchedule(7).run();
        DistributionFaultSchedule other = new DistributionFaultSchedule(7).run();
        assertThat(other.invariants().checkedSnapshots())
                .isEqualTo(one.invariants().checkedSnapshots());
        for (int i = 0; i < one.fleet().relays().size(); i++) {
            ProcessTraffic traffic = one.fleet().relays().get(i).traffic();
            assertThat(other.fleet().relays().get(i).traffic().bytes()).isEqualTo(traffic.bytes());
        }
    }

    @Test
    void fixedSeedsViolateNoInvariant() {
        List<String> violations = new ArrayList<>();
        Set<String> injectedFaults = new TreeSet<>();
        long snapshots = 0;
        long committed = 0;
        long rejected = 0;
        long longestConvergenceMicros = 0;
        for (long seed = 1; seed <= SCHEDULES; seed++) {
            DistributionFaultSchedule faults = new DistributionFaultSchedule(seed).run();
            for (String violation : faults.invariants().violations()) {
                violations.add("seed " + seed + ": " + violation);
            }
            injectedFaults.addAll(faults.injectedFaults());
            longestConvergenceMicros = Math.max(longestConvergenceMicros, faults.convergenceMicros());
            snapshots += faults.invariants().checkedSnapshots();
            committed += faults.committedChanges();
            rejected += faults.rejectedChanges();
        }
        System.out.printf(
                "%d schedules, %d committed changes, %d rejected, %d snapshots, converged within %.2f s%n",
                SCHEDULES,
                committed,
                rejected,
                snapshots,
                longestConvergenceMicros / (double) DistributionFaultSchedule.MICROS_PER_SECOND);
        assertThat(violations).isEmpty();
        assertThat(injectedFaults).hasSize(13);
        assertThat(committed).isGreaterThan(SCHEDULES * 20);
        assertThat(rejected).isGreaterThan(SCHEDULES);
        assertThat(snapshots).isGreaterThan(SCHEDULES * 200L);
    }
}
