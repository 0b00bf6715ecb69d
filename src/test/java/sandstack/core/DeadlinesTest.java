package sandstack.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The order in which deadlines run. */
class DeadlinesTest {
    private final Deadlines deadlines = new Deadlines();
    private final List<String> ran = new ArrayList<>();

    @Test
    void runsWhatIsDueInOrderAndKeepsTheRest() {
        deadlines.at(30, () -> ran.add("c"));
        deadlines.at(10, () -> ran.add("a"));
        deadlines.at(10, () -> ran.add("b"));
        Deadlines.Deadline off = deadlines.at(5, () -> ran.add("called off"));
        off.cancel();
        deadlines.sweep(20);
        assertThat(ran).containsExactly("a", "b");
        assertThat(deadlines.next()).isEqualTo(30);
        assertThat(deadlines.size()).isEqualTo(1);
    }

    @Test
    void whatIsSetInASweepForNowRunsInIt() {
        deadlines.at(1, () -> deadlines.at(1, () -> ran.add("second")));
        deadlines.sweep(1);
        assertThat(ran).containsExactly("second");
        assertThat(deadlines.next()).isEqualTo(Long.MAX_VALUE);
    }
}
