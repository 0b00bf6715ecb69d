package sandstack.measure.scale;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Processor time, memory and file descriptors of a process, as the operating system reports them. */
class ProcessUsageTest {
    private static final long OWN_PID = ProcessHandle.current().pid();

    @Test
    void includesProcessorTimeOfBusyThread() throws IOException {
        long workMicros = 200_000;
        ProcessUsage before = ProcessUsage.of(OWN_PID);
        double startMicros = ProbeClock.threadCpuMicros();
        while (ProbeClock.threadCpuMicros() - startMicros < workMicros) {
            Thread.onSpinWait();
        }
        // the kernel updates the thread's time only at its timer ticks
        assertThat(ProcessUsage.of(OWN_PID).processorMicrosSince(before)).isGreaterThan(workMicros * 9 / 10.0);
    }

    @Test
    void excludesEndedThreads() {
        ProcessUsage before = new ProcessUsage(Map.of("1", 5_000L, "2", 90_000L), 0, 0);
        ProcessUsage after = new ProcessUsage(Map.of("1", 7_000L, "3", 4_000L), 0, 0);

        assertThat(after.processorMicrosSince(before)).isEqualTo(6);
    }

    @Test
    void countsOpenFiles() throws IOException {
        int before = ProcessUsage.of(OWN_PID).descriptors();
        List<FileChannel> open = new ArrayList<>();
        try {
            for (int i = 0; i < 50; i++) {
                open.add(FileChannel.open(Path.of("/dev/null")));
            }
            assertThat(ProcessUsage.of(OWN_PID).descriptors() - before).isBetween(45, 55);
        } finally {
            for (FileChannel channel : open) {
                channel.close();
            }
        }
    }

    @Test
    void residentMemoryIsPlausibleForJvm() throws IOException {
        assertThat(ProcessUsage.of(OWN_PID).residentBytes()).isBetween(20L << 20, 8L << 30);
    }

    @Test
    void failsForMissingProcess() {
        assertThatThrownBy(() -> ProcessUsage.of(Integer.MAX_VALUE)).isInstanceOf(IOException.class);
    }

    @Test
    void liveHeapIsTotalOfHistogram() throws Exception {
        assertThat(LiveHeap.total(" num     #instances         #bytes  class name (module)\n"
                        + "   1:         14206        1230224  [B (java.base@17)\n"
                        + "Total         97331        4973320\n"))
                .isEqualTo(4973320);
        assertThatThrownBy(() -> LiveHeap.total("1234:\nnot responding\n"))
                .isInstanceOf(IOException.class)
                .hasMessageContaining("1234:");
    }
}
