package sandstack.handover;

import java.io.IOException;
import java.nio.charset.MalformedInputException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongSupplier;
import java.util.logging.Logger;
import java.util.stream.Collectors;

/**
 * Discovers the sibling processes (the other processes of this relay) through marker files in a shared folder. Owns
 * this process's files there and a thread that writes them and reads those of the others: four times per second, or
 * twenty times while sibling processes run. A heartbeat writes one small file and reads one per sibling process;
 * endpoint lists are written and read after a change. {@link LocalProcess} is called on that thread.
 */
public final class SiblingProcesses implements AutoCloseable {
    /** Interval at which a process writes its marker and reads those of the others. */
    public static final long HEARTBEAT_INTERVAL_MICROS = 250_000;
    /**
     * The interval while sibling processes run. A change of the endpoint list binds all processes, so it has to be
     * written and read well within the drain grace.
     */
    private static final long SIBLING_HEARTBEAT_INTERVAL_MICROS = 50_000;
    /** A process whose marker is older than this no longer counts as running. */
    private static final long LIVENESS_TIMEOUT_MICROS = 2_000_000;
    /** A file older than this is deleted by any process that finds it, unless the process that wrote it is running. */
    private static final long MAX_FILE_AGE_MICROS = 60_000_000;

    private static final long MICROS_PER_MILLI = 1000;
    private static final long CLOSE_TIMEOUT_MILLIS = 1000;

    private static final String FILE_PREFIX = "sandstack-";
    private static final String MARKER_SUFFIX = ".kin";
    private static final String LIST_SUFFIX = ".list";
    private static final String TEMPORARY_SUFFIX = ".aside";
    /** Maximum number of files examined per read of the folder, and of rejected files that are logged. */
    private static final int MAX_FILES = 64;

    private static final long MAX_FILE_BYTES = 8L << 20;
    private static final Logger LOG = Logger.getLogger("sandstack.handover");

    /**
     * A snapshot of this process's state.
     *
     * @param descriptorsInUse number of descriptors used for connections
     * @param listVersion number of changes of the endpoint list since the process started
     * @param endpointList the list; null if this version has been written already
     */
    public record LocalState(int descriptorsInUse, long listVersion, String endpointList) {}

    /** Supplies this process's state and receives that of the others. */
    public interface LocalProcess {
        /**
         * Returns this process's state. Called on the heartbeat thread; may block.
         *
         * @param writtenListVersion version of the endpoint list that was written last
         * @return the state, with a null list if {@code writtenListVersion} is still the current version
         */
        LocalState state(long writtenListVersion) throws InterruptedException;

        /**
         * Receives the state of the sibling processes after each heartbeat. Called on the heartbeat thread.
         *
         * @param descriptorsInUse number of descriptors that each sibling process uses
         */
        void onSiblings(List<Integer> descriptorsInUse);

        /**
         * Receives the endpoint lists of the sibling processes that have been written since the last call. Called on
         * the heartbeat thread.
         */
        default void onEndpointLists(List<String> endpointLists) {}
    }

    /**
     * The sibling processes that a new process finds.
     *
     * @param count number of sibling processes
     * @param endpointList list of the sibling with the latest marker among those that have written one; null if none
     *     has
     */
    public record Siblings(int count, String endpointList) {}

    /** Identifies one version of a file, which is always replaced as a whole. */
    private record FileStamp(FileTime modified, long size, Object key) {
        static FileStamp of(Path file) throws IOException {
            BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
            return new FileStamp(attributes.lastModifiedTime(), attributes.size(), attributes.fileKey());
        }
    }

    private final Path folder;
    private final String relayName;
    private final String token = Long.toHexString(ThreadLocalRandom.current().nextLong());
    private final LongSupplier clock;
    /** Names of the rejected files (too large, not decodable, or another relay's), so that each is logged once. */
    private final Set<String> loggedFiles = new HashSet<>();

    /** What the list file of each sibling process was when it was read last. */
    private final Map<String, FileStamp> readLists = new HashMap<>();

    private Thread thread;
    private long writtenListVersion = -1;
    private boolean failureLogged;
    private volatile boolean closed;

    /**
     * Creates an object that does not access the folder before {@link #find} or {@link #start}.
     *
     * @param folder the folder that the relay's processes share
     * @param relayName name of the relay, the same in all its processes
     * @param clock Unix time in microseconds
     */
    public SiblingProcesses(Path folder, String relayName, LongSupplier clock) {
        this.folder = folder;
        this.relayName = relayName;
        this.clock = clock;
    }

    /** Reads the folder once and returns the sibling processes that are running. */
    public Siblings find() {
        List<ProcessMarker> markers = siblingMarkers();
        String endpointList = markers.stream()
                .sorted(Comparator.comparingLong(ProcessMarker::writtenAtMicros).reversed())
                .flatMap(marker -> readEndpointList(marker).stream())
                .findFirst()
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

    /** Reads the markers of the running sibling processes, and deletes old files of processes that have ended. */
    List<ProcessMarker> siblingMarkers() {
        List<ProcessMarker> markers = new ArrayList<>();
        try {
            List<Path> files = relayFiles();
            for (Path file : files) {
                if (isSiblingMarker(file)) {
                    read(file).filter(this::isRunning).ifPresent(markers::add);
                }
            }
            deleteLeftOver(files, markers);
        } catch (IOException e) {
            logFailureOnce("read", e);
        }
        return markers;
    }

    private List<Path> relayFiles() throws IOException {
        List<Path> found = new ArrayList<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, FILE_PREFIX + "*")) {
            for (Path file : files) {
                if (found.size() == MAX_FILES) {
                    break;
                }
                found.add(file);
            }
        }
        return found;
    }

    private void deleteLeftOver(List<Path> files, List<ProcessMarker> running) throws IOException {
        Set<String> runningTokens = running.stream().map(ProcessMarker::token).collect(Collectors.toSet());
        runningTokens.add(token);
        for (Path file : files) {
            if (!runningTokens.contains(tokenOf(file)) && isOld(file)) {
                Files.deleteIfExists(file);
            }
        }
    }

    private boolean isOld(Path file) throws IOException {
        try {
            long modifiedAtMicros = Files.getLastModifiedTime(file).toMillis() * MICROS_PER_MILLI;
            return clock.getAsLong() - modifiedAtMicros > MAX_FILE_AGE_MICROS;
        } catch (NoSuchFileException e) {
            // another process has replaced or deleted the file meanwhile
            return false;
        }
    }

    private static String tokenOf(Path file) {
        String name = file.getFileName().toString();
        int suffix = name.lastIndexOf('.');
        return name.substring(FILE_PREFIX.length(), Math.max(FILE_PREFIX.length(), suffix));
    }

    private boolean isSiblingMarker(Path file) {
        return file.getFileName().toString().endsWith(MARKER_SUFFIX) && !file.equals(file(token, MARKER_SUFFIX));
    }

    private boolean isRunning(ProcessMarker marker) {
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
            // the file was replaced or deleted meanwhile, or is not text
            return Optional.empty();
        }
    }

    /** Writes the first marker, and starts the heartbeat thread. */
    public void start(LocalProcess localProcess) {
        write(MARKER_SUFFIX, 0, "");
        thread = new Thread(() -> runHeartbeats(localProcess), "sibling-processes");
        thread.setDaemon(true);
        thread.start();
    }

    private void runHeartbeats(LocalProcess localProcess) {
        try {
            while (!closed) {
                writeState(localProcess);
                List<ProcessMarker> markers = siblingMarkers();
                localProcess.onSiblings(
                        markers.stream().map(ProcessMarker::descriptorsInUse).toList());
                List<String> changedLists = changedEndpointLists(markers);
                if (!changedLists.isEmpty()) {
                    localProcess.onEndpointLists(changedLists);
                }
                long intervalMicros = markers.isEmpty() ? HEARTBEAT_INTERVAL_MICROS : SIBLING_HEARTBEAT_INTERVAL_MICROS;
                Thread.sleep(intervalMicros / MICROS_PER_MILLI);
            }
        } catch (InterruptedException e) {
            // close() has been called
        }
    }

    private void writeState(LocalProcess localProcess) throws InterruptedException {
        LocalState state = localProcess.state(writtenListVersion);
        write(MARKER_SUFFIX, state.descriptorsInUse(), "");
        if (state.endpointList() != null) {
            write(LIST_SUFFIX, state.descriptorsInUse(), state.endpointList());
            writtenListVersion = state.listVersion();
        }
    }

    private List<String> changedEndpointLists(List<ProcessMarker> markers) {
        Set<String> tokens = markers.stream().map(ProcessMarker::token).collect(Collectors.toSet());
        readLists.keySet().retainAll(tokens);
        List<String> changed = new ArrayList<>();
        for (ProcessMarker marker : markers) {
            if (hasChangedList(marker.token())) {
                readEndpointList(marker).ifPresent(changed::add);
            }
        }
        return changed;
    }

    private boolean hasChangedList(String siblingToken) {
        try {
            FileStamp stamp = FileStamp.of(file(siblingToken, LIST_SUFFIX));
            return !stamp.equals(readLists.put(siblingToken, stamp));
        } catch (IOException e) {
            // the sibling process has not written its list yet, or has ended
            return false;
        }
    }

    /** Replaces a file atomically: a reader gets the previous version or this one, never an incomplete file. */
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

    /** Logs the first failure since the last successful write; the relay serves without the folder. */
    private void logFailureOnce(String operation, IOException cause) {
        if (!failureLogged) {
            LOG.warning("process marker folder failed operation=" + operation + " cause=\"" + cause + "\"");
        }
        failureLogged = true;
    }

    /** Stops the heartbeats and deletes this process's files, so that the others no longer count it. */
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
                // a sibling process deletes the file once it is old enough
            }
        }
    }
}
