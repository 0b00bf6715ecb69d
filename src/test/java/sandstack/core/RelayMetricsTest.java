package sandstack.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The lines of {@code INFO}, as an earlier build wrote them. */
class RelayMetricsTest {
    @Test
    void linesAreThoseOfAnEarlierBuild() throws IOException {
        RelayMetrics metrics = new RelayMetrics();
        metrics.offered(List.of("interactive", "batch"));
        metrics.up("interactive");
        metrics.tried("interactive");
        metrics.tried("interactive");
        metrics.answered("interactive", Rejection.Kind.REJECTED);
        metrics.answered("batch", Rejection.Kind.FAILED);
        metrics.answered("batch", Rejection.Kind.MALFORMED);
        metrics.configApplied();
        metrics.configRejected();
        metrics.configRejected();
        assertThat(metrics.lines(4, 5, 1))
                .isEqualTo(Files.readAllLines(Path.of("src/test/resources/handover/info.txt")));
    }
}
