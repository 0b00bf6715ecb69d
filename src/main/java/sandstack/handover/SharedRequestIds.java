package sandstack.handover;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import java.util.logging.Logger;
import sandstack.core.RequestIds;

/**
 * The ids that requests of all processes of a relay have claimed. Each claim is an empty file in a folder that the
 * processes share; creating it is atomic, so that of two processes only one claims an id. Beyond a number of files, the
 * oldest are deleted. Methods are called on the event loop's thread; files are accessed on a thread of this object.
 */
public final class SharedRequestIds implements RequestIds {
    /** Maximum number of files after a claim of this process. */
    private static final int MAX_FILES = 4096;
    /** How many files are deleted at once if there are too many. */
    private static final int DELETED_AT_ONCE = MAX_FILES / 4;

    private static final Logger LOG = Logger.getLogger("sandstack.handover");

    /** A claim's file and when it was created. */
    private record Claim(Path file, FileTime createdAt) {}

    private final Path folder;
    private final Executor eventLoop;
    private final ExecutorService fileAccess = Executors.newSingleThreadExecutor(task -> {
        Thread thread = new Thread(task, "request-ids");
        thread.setDaemon(true);
        return thread;
    });
    /** At least the number of files in the folder that this process knows of; used on the thread of file access. */
    private int fileCount;

    private boolean folderCreated;
    private boolean failureLogged;

    /**
     * Creates an object that does not access the folder before the first claim.
     *
     * @param sharedFolder the folder that the relay's processes share
     * @param relayName name of the relay, the same in all its processes
     * @param eventLoop runs tasks on the event loop's thread
     */
    public SharedRequestIds(Path sharedFolder, String relayName, Executor eventLoop) {
        this.folder = sharedFolder.resolve("request-ids-" + fileName(relayName));
        this.eventLoop = eventLoop;
    }

    @Override
    public void claim(String id, Consumer<Boolean> whenDecided) {
        fileAccess.execute(() -> {
            boolean claimed = tryClaim(id);
            eventLoop.execute(() -> whenDecided.accept(claimed));
        });
    }

    @Override
    public void release(String id) {
        fileAccess.execute(() -> {
            try {
                Files.deleteIfExists(folder.resolve(fileName(id)));
            } catch (IOException e) {
                logFailureOnce(e);
            }
        });
    }

    /** Whether the id was free; true also if the folder cannot be used, because the relay serves without it. */
    private boolean tryClaim(String id) {
        try {
            createFolder();
            Files.createFile(folder.resolve(fileName(id)));
            fileCount++;
            if (fileCount > MAX_FILES) {
                deleteOldest();
            }
        } catch (FileAlreadyExistsException e) {
            return false;
        } catch (IOException e) {
            logFailureOnce(e);
        }
        return true;
    }

    private void createFolder() throws IOException {
        if (!folderCreated) {
            Files.createDirectories(folder);
            fileCount = claims().size();
            folderCreated = true;
        }
    }

    private void deleteOldest() throws IOException {
        List<Claim> claims = claims();
        int excess = claims.size() - MAX_FILES;
        if (excess > 0) {
            claims.sort(Comparator.comparing(Claim::createdAt));
            for (Claim claim : claims.subList(0, Math.min(claims.size(), excess + DELETED_AT_ONCE))) {
                Files.deleteIfExists(claim.file());
            }
        }
        fileCount = claims().size();
    }

    private List<Claim> claims() throws IOException {
        List<Claim> claims = new ArrayList<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
            for (Path file : files) {
                if (Files.exists(file)) {
                    claims.add(new Claim(file, Files.getLastModifiedTime(file)));
                }
            }
        }
        return claims;
    }

    /** A name of fixed length without special characters, whatever the text. */
    private static String fileName(String text) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
            return Base64.getUrlEncoder().withoutPadding().encodeToString(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    private void logFailureOnce(IOException cause) {
        if (!failureLogged) {
            LOG.warning("request id folder failed cause=\"" + cause + "\"");
        }
        failureLogged = true;
    }
}
