package sandstack.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which deadlines run, and in what order. */
class DeadlineSchedulerTest {
    private final DeadlineScheduler deadlines = new DeadlineScheduler();
    private final List<String> ran = new ArrayList<>();

    @Test
    void runsDueTasksInOrderAndKeepsTheOthers() {
        deadlines.schedule(30, () -> ran.add("c"));
        deadlines.schedule(10, () -> ran.add("a"));
        deadlines.schedule(10, () -> ran.add("b"));
        DeadlineScheduler.Deadline cancelled = deadlines.schedule(5, () -> ran.add("cancelled"));
        cancelled.cancel();
        deadlines.runExpired(20);
        assertThat(ran).containsExactly("a", "b");
        assertThat(deadlines.nextMicros()).isEqualTo(30);
        assertThat(deadlines.size()).isEqualTo(1);
    }

    @Test
    void aTaskScheduledForNowDuringATurnRunsInIt() {
        deadlines.schedule(1, () -> deadlines.schedule(1, () -> ran.add("second")));
        deadlines.runExpired(1);
        assertThat(ran).containsExactly("second");
        assertThat(deadlines.nextMicros()).isEqualTo(Long.MAX_VALUE);
    }
}
