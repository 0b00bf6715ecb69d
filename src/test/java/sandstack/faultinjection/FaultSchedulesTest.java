package sandstack.faultinjection;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Runs fault schedules concurrently against real processes: two regressions that {@code faults search} found, in which
 * a member that others reached was declared lost, and two generated schedules.
 */
@Timeout(150)
class FaultSchedulesTest {
    private static final List<String> PROGRAM = List.of("-cp", System.getProperty("java.class.path"), "sandstack.Main");

    @Test
    void invariantsHoldOnRegressionAndGeneratedSchedules() throws Exception {
        Map<String, FaultSchedule> schedules = new TreeMap<>(
                Map.of("seed 1", FaultScheduleGenerator.generate(1), "seed 3", FaultScheduleGenerator.generate(3)));
        for (String regression : List.of("cut-and-restart", "one-way-and-restart")) {
            schedules.put(
                    regression, FaultScheduleFile.read(Path.of("src/test/resources/faults", regression + ".toml")));
        }
        ExecutorService threads = Executors.newFixedThreadPool(schedules.size());
        Map<String, Future<FaultScheduleRunner.Outcome>> runs = new TreeMap<>();
        schedules.forEach(
                (name, schedule) -> runs.put(name, threads.submit(() -> FaultScheduleRunner.run(PROGRAM, schedule))));
        threads.shutdown();
        for (Map.Entry<String, Future<FaultScheduleRunner.Outcome>> run : runs.entrySet()) {
            FaultScheduleRunner.Outcome outcome = run.getValue().get();
            assertThat(outcome.violations())
                    .as(run.getKey() + "\n" + outcome.logs())
                    .isEmpty();
            assertThat(outcome.convergedAfterMicros()).as(run.getKey()).isNotNegative();
        }
    }
}
