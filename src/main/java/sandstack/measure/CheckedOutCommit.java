package sandstack.measure;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** The commit that is checked out in the working directory, according to {@code git describe}. */
final class CheckedOutCommit {
    private static final String UNKNOWN = "unknown";
    private static final long GIT_TIMEOUT_SECONDS = 5;

    private CheckedOutCommit() {}

    /**
     * The abbreviated commit id, such as {@code 6d4714b}, with suffix {@code -dirty} for local changes; {@code unknown}
     * outside a checkout or if git fails or takes more than five seconds. Blocks the calling thread.
     */
    static String name() throws InterruptedException {
        try {
            Process git = new ProcessBuilder("git", "describe", "--always", "--dirty", "--exclude", "*")
                    .redirectError(ProcessBuilder.Redirect.DISCARD)
                    .start();
            if (!git.waitFor(GIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                git.destroyForcibly();
                return UNKNOWN;
            }
            String description = new String(git.getInputStream().readAllBytes(), StandardCharsets.UTF_8).trim();
            return git.exitValue() == 0 && !description.isEmpty() ? description : UNKNOWN;
        } catch (IOException e) {
            return UNKNOWN;
        }
    }
}
