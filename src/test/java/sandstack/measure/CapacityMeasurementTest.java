package sandstack.measure;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Counting of rejections in logs, also in the log format of older builds that a measurement may be compared to. */
class CapacityMeasurementTest {
    @Test
    void rejectionsAreCountedByReasonAndAttemptsInTheLogFormatOfEachBuild() {
        List<String> log = List.of(
                "command 7 of k7 was answered REFUSED FULL 0 after 1 executions",
                "command 8 of k8 was answered REJECTED FULL 250 after 1 executions",
                "final answer sent request=9 client_key=k9 answer=REJECTED reason=RESERVED retry_after_ms=0 attempts=0",
                "command 10 of k10 was answered FAILED 0 after 2 executions",
                "final answer sent request=11 client_key=k11 answer=FAILED retry_after_ms=0 attempts=2");

        assertThat(CapacityMeasurement.rejectionsByReason(log))
                .isEqualTo(Map.of("FULL after 1", 2L, "RESERVED after 0", 1L));
    }
}
