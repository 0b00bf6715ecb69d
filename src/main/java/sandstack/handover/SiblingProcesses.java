package sandstack.handover;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongSupplier;
import java.util.logging.Logger;

/**
 * The other processes of this relay, by marker files that each keeps in one folder. Owns this process's files there and a
 * thread that writes them and reads the others', four times a second; a beat costs one small file written and one read
 * for each process, and the list only where it has changed. Everything that it tells is told on its own thread.
 */
public final class SiblingProcesses implements AutoCloseable {
    /** How often a process says that it is there. */
    public static final long BEAT = 250_000;
    /** Whose notice is older has gone without a word. */
    private static final long FRESH = 2_000_000;
    /** Files that old are left over from processes that died: deleted by whoever sees them. */
    private static final long LEFT_OVER = 60_000_000;

    private static final String PREFIX = "sandstack-";
    private static final String NOTICE = ".kin";
    private static final String LIST = ".list";
    /** Files past these are not looked at, whatever somebody puts into the folder, or however long they are. */
    private static final int MOST_FILES = 64;

    private static final long LONGEST_FILE = 8L << 20;
    private static final Logger LOG = Logger.getLogger("sandstack.kin");

    /** What this process says of itself, at one moment. */
    public record Own(int used, long listNumber, String list) {}

    /** Asked for this process's state, told of the others'. */
    public interface Relay {
        /**
         * Gives this process's state; called on the thread of this class, and may wait.
         *
         * @param writtenList the number of the list that was written last
         * @return the state, with a null list where its number is still that
         */
        Own own(long writtenList) throws InterruptedException;

        /**
         * Tells of the other processes as they are now; called on the thread of this class.
         *
         * @param used descriptors that each of the others uses
         */
        void others(List<Integer> used);
    }

    private final Path folder;
    private final String relay;
    private final String token = Long.toHexString(ThreadLocalRandom.current().nextLong());
    private final LongSupplier clock;
    private final Set<String> torn = new HashSet<>();
    private Thread thread;
    private long writtenList = -1;
    private boolean failed;
    private volatile boolean over;

    /**
     * Creates an object that writes and reads nothing yet.
     *
     * @param folder shared by the processes of the relay
     * @param relay its name
     * @param clock Unix microseconds
     */
    public SiblingProcesses(Path folder, String relay, LongSupplier clock) {
        this.folder = folder;
        this.relay = relay;
        this.clock = clock;
    }

    /** The other processes that are there now. */
    List<ProcessMarker> others() {
        List<ProcessMarker> others = new ArrayList<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, PREFIX + "*")) {
            int looked = 0;
            for (Path file : files) {
                if (++looked > MOST_FILES) {
                    break;
                }
                String name = file.getFileName().toString();
                long age = clock.getAsLong() - Files.getLastModifiedTime(file).toMillis() * 1000;
                if (age > LEFT_OVER) {
                    Files.deleteIfExists(file);
                } else if (name.endsWith(NOTICE) && !name.equals(PREFIX + token + NOTICE)) {
                    ProcessMarker notice = read(file);
                    if (notice != null && clock.getAsLong() - notice.written() < FRESH) {
                        others.add(notice);
                    }
                }
            }
        } catch (IOException e) {
            fault("cannot be read", e);
        }
        return others;
    }

    private ProcessMarker read(Path file) throws IOException {
        try {
            ProcessMarker notice = Files.size(file) > LONGEST_FILE
                    ? null
                    : ProcessMarker.read(Files.readString(file, StandardCharsets.UTF_8), relay);
            if (notice == null
                    && torn.size() < MOST_FILES
                    && torn.add(file.getFileName().toString())) {
                LOG.info("passed over, not a whole notice of this relay: " + file.getFileName());
            }
            return notice;
        } catch (java.nio.file.NoSuchFileException | java.nio.charset.MalformedInputException e) {
            // replaced or taken away in between, or no text at all
            return null;
        }
    }

    /**
     * The other processes as a new one finds them.
     *
     * @param count how many there are
     * @param list of the one that wrote its notice last; null where there is no other or it has none
     */
    public record Found(int count, String list) {}

    /** Looks once for other processes of this relay. */
    public Found find() {
        List<ProcessMarker> there = others();
        return new Found(
                there.size(),
                there.stream()
                        .max(Comparator.comparingLong(ProcessMarker::written))
                        .map(other -> {
                            try {
                                ProcessMarker list = read(folder.resolve(PREFIX + other.token() + LIST));
                                return list != null && list.token().equals(other.token()) ? list.text() : null;
                            } catch (IOException e) {
                                fault("cannot be read", e);
                                return null;
                            }
                        })
                        .orElse(null));
    }

    /** Begins to say that this process is there, and to tell of the others; the first notice is written at once. */
    public void start(Relay asked) {
        write(NOTICE, new ProcessMarker(relay, token, clock.getAsLong(), 0, ""));
        thread = new Thread(() -> beat(asked), "kin");
        thread.setDaemon(true);
        thread.start();
    }

    private void beat(Relay asked) {
        try {
            while (!over) {
                Own own = asked.own(writtenList);
                write(NOTICE, new ProcessMarker(relay, token, clock.getAsLong(), own.used(), ""));
                if (own.list() != null) {
                    write(LIST, new ProcessMarker(relay, token, clock.getAsLong(), own.used(), own.list()));
                    writtenList = own.listNumber();
                }
                asked.others(others().stream().map(ProcessMarker::used).toList());
                Thread.sleep(BEAT / 1000);
            }
        } catch (InterruptedException e) {
            // closed
        }
    }

    /** A reader sees the file before or this one, never a half. */
    private void write(String kind, ProcessMarker notice) {
        Path aside = folder.resolve(PREFIX + token + ".aside");
        try {
            Files.writeString(aside, notice.file(), StandardCharsets.UTF_8);
            Files.move(aside, folder.resolve(PREFIX + token + kind), StandardCopyOption.ATOMIC_MOVE);
            failed = false;
        } catch (IOException e) {
            fault("cannot be written", e);
        }
    }

    /** Told once until it works again: the relay serves without. */
    private void fault(String what, IOException e) {
        if (!failed) {
            LOG.warning("the folder for notices to this relay's other processes " + what + ": " + e);
        }
        failed = true;
    }

    /** Takes this process's files away; the others stop reckoning with it. */
    @Override
    public void close() {
        over = true;
        if (thread != null) {
            thread.interrupt();
            try {
                thread.join(1000);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        for (String kind : List.of(NOTICE, LIST, ".aside")) {
            try {
                Files.deleteIfExists(folder.resolve(PREFIX + token + kind));
            } catch (IOException e) {
                // it is taken for left over in time
            }
        }
    }
}
