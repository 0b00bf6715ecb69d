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

/** Several processes of one relay that share a folder: what each knows of the others. */
@Timeout(20)
class SiblingProcessesTest {
    @TempDir
    Path folder;

    private final AtomicLong now = new AtomicLong(System.currentTimeMillis() * 1000);

    /** A process that uses so much and holds this list; it keeps what it hears of the others. */
    private static final class Process implements SiblingProcesses.Relay {
        private final int used;
        private final String list;
        private final BlockingQueue<List<Integer>> heard = new LinkedBlockingQueue<>();

        Process(int used, String list) {
            this.used = used;
            this.list = list;
        }

        @Override
        public SiblingProcesses.Own own(long writtenList) {
            return new SiblingProcesses.Own(used, 7, writtenList == 7 ? null : list);
        }

        @Override
        public void others(List<Integer> others) {
            heard.add(others);
        }

        void until(List<Integer> wanted) throws InterruptedException {
            List<Integer> last = heard.poll(15, TimeUnit.SECONDS);
            while (!wanted.equals(last)) {
                assertThat(last).as("still beating").isNotNull();
                last = heard.poll(15, TimeUnit.SECONDS);
            }
        }
    }

    private SiblingProcesses kin(String relay) {
        return new SiblingProcesses(folder, relay, now::get);
    }

    private List<Path> files() throws Exception {
        try (Stream<Path> files = Files.list(folder)) {
            return files.toList();
        }
    }

    @Test
    void processesOfOneRelaySeeEachOtherAndTheNewOneHasTheList() throws Exception {
        Process old = new Process(40, "the list");
        Process fresh = new Process(2, "another");
        Process stranger = new Process(9, "a third");
        try (SiblingProcesses first = kin("n1");
                SiblingProcesses other = kin("n2")) {
            assertThat(first.find().list()).isNull();
            first.start(old);
            other.start(stranger);
            old.until(List.of());
            SiblingProcesses second = kin("n1");
            assertThat(second.find()).isEqualTo(new SiblingProcesses.Found(1, "the list"));
            second.start(fresh);
            old.until(List.of(2));
            fresh.until(List.of(40));
            second.close();
            old.until(List.of());
            stranger.until(List.of());
        }
        assertThat(files()).isEmpty();
    }

    @Test
    void oneThatDiedWithoutAWordIsForgottenAndItsFilesGo() throws Exception {
        Path left = folder.resolve("sandstack-abc.kin");
        Files.writeString(left, new ProcessMarker("n1", "abc", now.get(), 5, "").file());
        SiblingProcesses kin = kin("n1");
        assertThat(kin.others()).hasSize(1);
        now.addAndGet(2_500_000);
        assertThat(kin.others()).isEmpty();
        assertThat(left).exists();
        Files.setLastModifiedTime(left, FileTime.fromMillis(now.get() / 1000 - 61_000));
        kin.others();
        assertThat(left).doesNotExist();
    }

    @Test
    void aNoticeWithAnyByteChangedOrCutIsIgnored() throws Exception {
        byte[] good = new ProcessMarker("n 1", "abc", now.get(), 5, "{\"rev\":1}\n")
                .file()
                .getBytes(StandardCharsets.UTF_8);
        Path file = folder.resolve("sandstack-abc.kin");
        SiblingProcesses kin = kin("n 1");
        Files.write(file, good);
        assertThat(kin.others()).hasSize(1);
        for (int i = 0; i < good.length; i++) {
            byte[] changed = good.clone();
            changed[i] ^= 1;
            Files.write(file, changed);
            assertThat(kin.others()).as("byte %d", i).isEmpty();
            Files.write(file, Arrays.copyOf(good, i));
            assertThat(kin.others()).as("cut at %d", i).isEmpty();
        }
        Files.write(file, new byte[] {(byte) 0xff, (byte) 0xfe, '\n', ' '});
        assertThat(kin.others()).isEmpty();
    }

    @Test
    void togetherTheyNeverUseMoreDescriptorsThanThereAre() {
        assertThat(ResourceShares.descriptors(200, 0, List.of())).isEqualTo(200);
        int old = 120;
        int fresh = 0;
        for (int beat = 0; beat < 20; beat++) {
            int oldMay = ResourceShares.descriptors(200, old, List.of(fresh));
            int freshMay = ResourceShares.descriptors(200, fresh, List.of(old));
            // both grow at once to all they may, or the old one's clients leave
            old = beat % 3 == 0 ? Math.max(0, old - 30) : oldMay;
            fresh = freshMay;
            assertThat(old + fresh).isLessThanOrEqualTo(200);
        }
        assertThat(ResourceShares.descriptors(100, 90, List.of(60)))
                .as("over already: nothing more")
                .isEqualTo(90);
    }
}
