package sandstack.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The metric lines that the operators' command {@code INFO} returns have the format of an earlier build. */
class RelayMetricsTest {
    @Test
    void linesAreThoseOfAnEarlierBuild() throws IOException {
        RelayMetrics metrics = new RelayMetrics();
        metrics.classesOffered(List.of("interactive", "batch"));
        metrics.connectionEstablished("interactive");
        metrics.requestWritten("interactive");
        metrics.requestWritten("interactive");
        metrics.requestNotServed("interactive", Rejection.Kind.REJECTED);
        metrics.requestNotServed("batch", Rejection.Kind.FAILED);
        metrics.requestNotServed("batch", Rejection.Kind.MALFORMED);
        metrics.configApplied();
        metrics.configRejected();
        metrics.configRejected();
        assertThat(metrics.lines(4, 5, 1))
                .isEqualTo(Files.readAllLines(Path.of("src/test/resources/handover/info.txt")));
    }
}
