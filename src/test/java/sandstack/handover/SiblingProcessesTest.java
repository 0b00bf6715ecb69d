package sandstack.handover;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Several processes of one relay that share a folder: what each learns of the others. */
@Timeout(20)
class SiblingProcessesTest {
    @TempDir
    Path folder;

    private final AtomicLong now = new AtomicLong(System.currentTimeMillis() * 1000);

    /** A process with this state; it records what it is notified of the others. */
    private static final class RecordingProcess implements SiblingProcesses.LocalProcess {
        private final int descriptorsInUse;
        private final String endpointList;
        private final BlockingQueue<List<Integer>> received = new LinkedBlockingQueue<>();

        RecordingProcess(int used, String list) {
            this.descriptorsInUse = used;
            this.endpointList = list;
        }

        @Override
        public SiblingProcesses.LocalState state(long writtenListVersion) {
            return new SiblingProcesses.LocalState(descriptorsInUse, 7, writtenListVersion == 7 ? null : endpointList);
        }

        @Override
        public void onSiblings(List<Integer> others) {
            received.add(others);
        }

        void awaitSiblings(List<Integer> expected) throws InterruptedException {
            List<Integer> last = received.poll(15, TimeUnit.SECONDS);
            while (!expected.equals(last)) {
                assertThat(last).as("heartbeats go on").isNotNull();
                last = received.poll(15, TimeUnit.SECONDS);
            }
        }
    }

    private SiblingProcesses siblings(String relay) {
        return new SiblingProcesses(folder, relay, now::get);
    }

    private List<Path> files() throws Exception {
        try (Stream<Path> files = Files.list(folder)) {
            return files.toList();
        }
    }

    @Test
    void processesOfOneRelaySeeEachOtherAndTheNewOneHasTheList() throws Exception {
        RecordingProcess old = new RecordingProcess(40, "the list");
        RecordingProcess fresh = new RecordingProcess(2, "another");
        RecordingProcess stranger = new RecordingProcess(9, "a third");
        try (SiblingProcesses first = siblings("n1");
                SiblingProcesses other = siblings("n2")) {
            assertThat(first.find().endpointList()).isNull();
            first.start(old);
            other.start(stranger);
            old.awaitSiblings(List.of());
            SiblingProcesses second = siblings("n1");
            assertThat(second.find()).isEqualTo(new SiblingProcesses.Siblings(1, "the list"));
            second.start(fresh);
            old.awaitSiblings(List.of(2));
            fresh.awaitSiblings(List.of(40));
            second.close();
            old.awaitSiblings(List.of());
            stranger.awaitSiblings(List.of());
        }
        assertThat(files()).isEmpty();
    }

    @Test
    void aProcessThatDiedIsForgottenAndItsFilesAreDeleted() throws Exception {
        Path staleFile = folder.resolve("sandstack-abc.kin");
        Files.writeString(staleFile, new ProcessMarker("n1", "abc", now.get(), 5, "").encode());
        SiblingProcesses siblings = siblings("n1");
        assertThat(siblings.siblingMarkers()).hasSize(1);
        now.addAndGet(2_500_000);
        assertThat(siblings.siblingMarkers()).isEmpty();
        assertThat(staleFile).exists();
        Files.setLastModifiedTime(staleFile, FileTime.fromMillis(now.get() / 1000 - 61_000));
        siblings.siblingMarkers();
        assertThat(staleFile).doesNotExist();
    }

    @Test
    void aMarkerWithAnyByteChangedOrCutIsIgnored() throws Exception {
        byte[] good = new ProcessMarker("n 1", "abc", now.get(), 5, "{\"rev\":1}\n")
                .encode()
                .getBytes(StandardCharsets.UTF_8);
        Path file = folder.resolve("sandstack-abc.kin");
        SiblingProcesses siblings = siblings("n 1");
        Files.write(file, good);
        assertThat(siblings.siblingMarkers()).hasSize(1);
        for (int i = 0; i < good.length; i++) {
            byte[] changed = good.clone();
            changed[i] ^= 1;
            Files.write(file, changed);
            assertThat(siblings.siblingMarkers()).as("byte %d", i).isEmpty();
            Files.write(file, Arrays.copyOf(good, i));
            assertThat(siblings.siblingMarkers()).as("cut at %d", i).isEmpty();
        }
        Files.write(file, new byte[] {(byte) 0xff, (byte) 0xfe, '\n', ' '});
        assertThat(siblings.siblingMarkers()).isEmpty();
    }

    @Test
    void togetherTheyNeverUseMoreDescriptorsThanThereAre() {
        assertThat(DescriptorQuota.of(200, 0, List.of())).isEqualTo(200);
        int old = 120;
        int fresh = 0;
        for (int beat = 0; beat < 20; beat++) {
            int oldMay = DescriptorQuota.of(200, old, List.of(fresh));
            int freshMay = DescriptorQuota.of(200, fresh, List.of(old));
            // both grow at once to all they may, or the old one's clients leave
            old = beat % 3 == 0 ? Math.max(0, old - 30) : oldMay;
            fresh = freshMay;
            assertThat(old + fresh).isLessThanOrEqualTo(200);
        }
        assertThat(DescriptorQuota.of(100, 90, List.of(60)))
                .as("above the total already: nothing more")
                .isEqualTo(90);
    }
}
