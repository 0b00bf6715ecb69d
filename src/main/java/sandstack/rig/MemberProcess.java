package sandstack.rig;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * One process of the program with its console on a pipe: asked what it knows, paused, let go on, killed. Two threads
 * read what it says. A member's folder outlasts its process and is the rig's.
 */
final class MemberProcess implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    /** An answer that has not come by then does not come: the process is paused, or gone. */
    private static final long RESPONSE_TIMEOUT_MILLIS = 4_000;

    private final Process process;
    private final PrintStream consoleInput;
    private final BlockingQueue<String> consoleOutput = new LinkedBlockingQueue<>();
    private final Queue<String> log = new ConcurrentLinkedQueue<>();

    /**
     * Starts it.
     *
     * @param program the words that start the program, up to its command
     * @param words the command and its options
     */
    MemberProcess(List<String> program, Path folder, List<String> words) throws IOException {
        List<String> command = new ArrayList<>(program);
        command.addAll(words);
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().keySet().removeIf(name -> name.startsWith("PROXY_"));
        builder.environment().put("PROXY_CONFIG", folder.resolve("config.json").toString());
        process = builder.start();
        consoleInput = new PrintStream(process.getOutputStream(), true, StandardCharsets.UTF_8);
        copyLines(process.getInputStream(), consoleOutput, "out");
        copyLines(process.getErrorStream(), log, "log");
    }

    private void copyLines(InputStream from, Queue<String> into, String what) {
        Thread thread = new Thread(
                () -> {
                    try (BufferedReader in = new BufferedReader(new InputStreamReader(from, StandardCharsets.UTF_8))) {
                        for (String line = in.readLine(); line != null; line = in.readLine()) {
                            into.add(line);
                        }
                    } catch (IOException e) {
                        into.add("broke off: " + e.getMessage());
                    }
                },
                "member-" + process.pid() + "-" + what);
        thread.setDaemon(true);
        thread.start();
    }

    /** Writes a command to its console, whether it reads or not. */
    void sendCommand(String command) {
        consoleOutput.clear();
        consoleInput.println(command);
    }

    /** What it knows of the fleet; null where it does not answer. */
    JsonNode view() {
        sendCommand("fleet json");
        return awaitJsonResponse();
    }

    /** The object with which it answers what was asked last; null where it does not answer. */
    JsonNode awaitJsonResponse() {
        try {
            String line = awaitLine("{");
            return line == null ? null : JSON.readTree(line);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a view that is no JSON", e);
        }
    }

    /** The line with which it answers this command; null where it does not answer. */
    String execute(String command) {
        sendCommand(command);
        return awaitLine("");
    }

    private String awaitLine(String begins) {
        try {
            long until = System.nanoTime() + RESPONSE_TIMEOUT_MILLIS * 1_000_000;
            for (String line; (line = consoleOutput.poll(until - System.nanoTime(), TimeUnit.NANOSECONDS)) != null; ) {
                if (line.startsWith(begins)) {
                    return line;
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return null;
    }

    /** What it has logged, oldest first. */
    List<String> log() {
        return List.copyOf(log);
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Its exit code; -1 where it has not ended by then. */
    int awaitExit(long seconds) throws InterruptedException {
        return process.waitFor(seconds, TimeUnit.SECONDS) ? process.exitValue() : -1;
    }

    private void signal(String name) throws IOException {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Stops it where it is; it does not know. */
    void pause() throws IOException {
        signal("STOP");
    }

    /** Lets it go on. */
    void resume() throws IOException {
        signal("CONT");
    }

    /** Asks it to stop, as the platform does. */
    void terminate() {
        process.destroy();
    }

    /** Ends it without a word. */
    void kill() {
        process.destroyForcibly();
    }

    @Override
    public void close() {
        kill();
        try {
            process.waitFor(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Puts a text into a member's folder. */
    static void writeFile(Path folder, String name, String text) throws IOException {
        Files.createDirectories(folder.resolve(name).getParent());
        Files.writeString(folder.resolve(name), text);
    }
}
