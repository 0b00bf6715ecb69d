package sandstack.handover;

import java.io.IOException;
import java.nio.charset.MalformedInputException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongSupplier;
import java.util.logging.Logger;

/**
 * The other processes of this relay, seen through the marker files that each keeps in a shared folder. Owns this
 * process's files there and a thread that writes them and reads the others', four times a second; a heartbeat costs one
 * small file written and one read for each process, and the endpoint list only where it has changed.
 * {@link LocalProcess} is called on that thread.
 */
public final class SiblingProcesses implements AutoCloseable {
    /** How often a process writes its marker. */
    public static final long HEARTBEAT_INTERVAL_MICROS = 250_000;
    /** A process whose marker is older than this counts as dead. */
    private static final long LIVENESS_TIMEOUT_MICROS = 2_000_000;
    /** Older files are left over from processes that died: deleted by whichever process sees them. */
    private static final long MAX_FILE_AGE_MICROS = 60_000_000;

    private static final long MICROS_PER_MILLI = 1000;
    private static final long CLOSE_TIMEOUT_MILLIS = 1000;

    private static final String FILE_PREFIX = "sandstack-";
    private static final String MARKER_SUFFIX = ".kin";
    private static final String LIST_SUFFIX = ".list";
    private static final String TEMPORARY_SUFFIX = ".aside";
    /** Bounds the work, whatever else is in the folder. */
    private static final int MAX_FILES = 64;

    private static final long MAX_FILE_BYTES = 8L << 20;
    private static final Logger LOG = Logger.getLogger("sandstack.handover");

    /**
     * The state of this process at one moment.
     *
     * @param listVersion how often the endpoint list has changed
     * @param endpointList the list; null where its version has been written already
     */
    public record LocalState(int descriptorsInUse, long listVersion, String endpointList) {}

    /** This process: asked for its state, and notified of the others'. */
    public interface LocalProcess {
        /**
         * Returns this process's state; called on the thread of this class, and may wait.
         *
         * @param writtenListVersion the version of the list that was written last
         * @return the state, with a null list where its version is still that
         */
        LocalState state(long writtenListVersion) throws InterruptedException;

        /**
         * Receives the state of the other processes; called on the thread of this class.
         *
         * @param descriptorsInUse descriptors that each of the others uses
         */
        void onSiblings(List<Integer> descriptorsInUse);
    }

    /**
     * The other processes as a new one finds them.
     *
     * @param count how many there are
     * @param endpointList of the one that wrote its marker last; null where there is no other or it has none
     */
    public record Siblings(int count, String endpointList) {}

    private final Path folder;
    private final String relayName;
    private final String token = Long.toHexString(ThreadLocalRandom.current().nextLong());
    private final LongSupplier clock;
    /** Files that could not be decoded; each is logged once. */
    private final Set<String> loggedFiles = new HashSet<>();

    private Thread thread;
    private long writtenListVersion = -1;
    private boolean failureLogged;
    private volatile boolean closed;

    /**
     * Creates an object that writes and reads nothing yet.
     *
     * @param folder shared by the processes of the relay
     * @param relayName its name
     * @param clock Unix microseconds
     */
    public SiblingProcesses(Path folder, String relayName, LongSupplier clock) {
        this.folder = folder;
        this.relayName = relayName;
        this.clock = clock;
    }

    // ---- reading ----------------------------------------------------------------------------------

    /** Looks once for other processes of this relay. */
    public Siblings find() {
        List<ProcessMarker> markers = siblingMarkers();
        String endpointList = markers.stream()
                .max(Comparator.comparingLong(ProcessMarker::writtenAtMicros))
                .flatMap(this::readEndpointList)
                .orElse(null);
        return new Siblings(markers.size(), endpointList);
    }

    private Optional<String> readEndpointList(ProcessMarker sibling) {
        try {
            return read(file(sibling.token(), LIST_SUFFIX))
                    .filter(list -> list.token().equals(sibling.token()))
                    .map(ProcessMarker::content);
        } catch (IOException e) {
            logFailureOnce("read", e);
            return Optional.empty();
        }
    }

    /** The markers of the other processes that are alive now. */
    List<ProcessMarker> siblingMarkers() {
        List<ProcessMarker> markers = new ArrayList<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, FILE_PREFIX + "*")) {
            int fileCount = 0;
            for (Path file : files) {
                if (++fileCount > MAX_FILES) {
                    break;
                }
                long ageMicros =
                        clock.getAsLong() - Files.getLastModifiedTime(file).toMillis() * MICROS_PER_MILLI;
                if (ageMicros > MAX_FILE_AGE_MICROS) {
                    Files.deleteIfExists(file);
                } else if (isSiblingMarker(file)) {
                    read(file).filter(this::isAlive).ifPresent(markers::add);
                }
            }
        } catch (IOException e) {
            logFailureOnce("read", e);
        }
        return markers;
    }

    private boolean isSiblingMarker(Path file) {
        return file.getFileName().toString().endsWith(MARKER_SUFFIX) && !file.equals(file(token, MARKER_SUFFIX));
    }

    private boolean isAlive(ProcessMarker marker) {
        return clock.getAsLong() - marker.writtenAtMicros() < LIVENESS_TIMEOUT_MICROS;
    }

    private Optional<ProcessMarker> read(Path file) throws IOException {
        try {
            Optional<ProcessMarker> marker = Files.size(file) > MAX_FILE_BYTES
                    ? Optional.empty()
                    : ProcessMarker.decode(Files.readString(file, StandardCharsets.UTF_8), relayName);
            String name = file.getFileName().toString();
            if (marker.isEmpty() && loggedFiles.size() < MAX_FILES && loggedFiles.add(name)) {
                LOG.info("process marker rejected file=" + name);
            }
            return marker;
        } catch (NoSuchFileException | MalformedInputException e) {
            // replaced or deleted meanwhile, or no text at all
            return Optional.empty();
        }
    }

    // ---- heartbeats -------------------------------------------------------------------------------

    /** Starts to publish this process and to report the others; the first marker is written at once. */
    public void start(LocalProcess localProcess) {
        write(MARKER_SUFFIX, 0, "");
        thread = new Thread(() -> runHeartbeats(localProcess), "sibling-processes");
        thread.setDaemon(true);
        thread.start();
    }

    private void runHeartbeats(LocalProcess localProcess) {
        try {
            while (!closed) {
                LocalState state = localProcess.state(writtenListVersion);
                write(MARKER_SUFFIX, state.descriptorsInUse(), "");
                if (state.endpointList() != null) {
                    write(LIST_SUFFIX, state.descriptorsInUse(), state.endpointList());
                    writtenListVersion = state.listVersion();
                }
                localProcess.onSiblings(siblingMarkers().stream()
                        .map(ProcessMarker::descriptorsInUse)
                        .toList());
                Thread.sleep(HEARTBEAT_INTERVAL_MICROS / MICROS_PER_MILLI);
            }
        } catch (InterruptedException e) {
            // closed
        }
    }

    /** Replaces the file atomically: a reader sees the one before or this one, never an incomplete one. */
    private void write(String suffix, int descriptorsInUse, String content) {
        ProcessMarker marker = new ProcessMarker(relayName, token, clock.getAsLong(), descriptorsInUse, content);
        Path temporary = file(token, TEMPORARY_SUFFIX);
        try {
            Files.writeString(temporary, marker.encode(), StandardCharsets.UTF_8);
            Files.move(temporary, file(token, suffix), StandardCopyOption.ATOMIC_MOVE);
            failureLogged = false;
        } catch (IOException e) {
            logFailureOnce("write", e);
        }
    }

    private Path file(String processToken, String suffix) {
        return folder.resolve(FILE_PREFIX + processToken + suffix);
    }

    /** Logged once until a write succeeds again: the relay serves without the folder. */
    private void logFailureOnce(String operation, IOException cause) {
        if (!failureLogged) {
            LOG.warning("process marker folder failed operation=" + operation + " cause=\"" + cause + "\"");
        }
        failureLogged = true;
    }

    /** Deletes this process's files; the others no longer count it. */
    @Override
    public void close() {
        closed = true;
        if (thread != null) {
            thread.interrupt();
            try {
                thread.join(CLOSE_TIMEOUT_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        for (String suffix : List.of(MARKER_SUFFIX, LIST_SUFFIX, TEMPORARY_SUFFIX)) {
            try {
                Files.deleteIfExists(file(token, suffix));
            } catch (IOException e) {
                // another process deletes it once it is old
            }
        }
    }
}
