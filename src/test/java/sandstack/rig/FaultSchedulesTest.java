package sandstack.rig;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Drawn schedules of faults between real processes, a few at a time; {@code faults search} plays more of them. */
@Timeout(150)
class FaultSchedulesTest {
    private static final List<String> PROGRAM = List.of("-cp", System.getProperty("java.class.path"), "sandstack.Main");
    private static final int AT_A_TIME = 3;

    @Test
    void noRuleIsBrokenOnDrawnSchedules() throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(AT_A_TIME);
        Map<Long, Future<FaultRun.Outcome>> runs = new TreeMap<>();
        for (long seed = 1; seed <= AT_A_TIME; seed++) {
            long drawn = seed;
            runs.put(seed, threads.submit(() -> FaultRun.play(PROGRAM, Schedule.draw(drawn))));
        }
        threads.shutdown();
        for (Map.Entry<Long, Future<FaultRun.Outcome>> run : runs.entrySet()) {
            FaultRun.Outcome outcome = run.getValue().get();
            assertThat(outcome.broken()).as("seed " + run.getKey() + "\n" + outcome.logs()).isEmpty();
            assertThat(outcome.equalAfter()).as("seed " + run.getKey()).isNotNegative();
        }
    }
}
