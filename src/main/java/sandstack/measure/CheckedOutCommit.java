package sandstack.measure;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** The commit that is checked out in the working directory, by {@code git describe}. */
final class CheckedOutCommit {
    private static final String UNKNOWN = "unknown";
    private static final long GIT_TIMEOUT_SECONDS = 5;

    private CheckedOutCommit() {}

    /** Such as {@code 6d4714b}, with suffix {@code -dirty} for local changes; {@code unknown} outside a checkout. */
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
