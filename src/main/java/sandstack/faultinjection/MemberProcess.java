package sandstack.faultinjection;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * One member that runs as a process of the program, with pipes to its console. Two threads read its console output and
 * its log. The member's folder belongs to {@link ProcessFleet} and remains when the process has ended.
 */
final class MemberProcess implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    /** Longer than a running member takes to respond; a paused or ended one does not respond. */
    private static final long RESPONSE_TIMEOUT_MILLIS = 4_000;

    private static final long KILL_TIMEOUT_SECONDS = 10;

    private final Process process;
    private final PrintStream consoleInput;
    private final BlockingQueue<String> consoleOutput = new LinkedBlockingQueue<>();
    private final Queue<String> log = new ConcurrentLinkedQueue<>();

    /**
     * Starts the process.
     *
     * @param program the command line that starts the program, without its subcommand
     * @param arguments the subcommand and its options
     */
    MemberProcess(List<String> program, Path folder, List<String> arguments) throws IOException {
        List<String> command = new ArrayList<>(program);
        command.addAll(arguments);
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().keySet().removeIf(name -> name.startsWith("PROXY_"));
        builder.environment().put("PROXY_CONFIG", folder.resolve("config.json").toString());
        process = builder.start();
        consoleInput = new PrintStream(process.getOutputStream(), true, StandardCharsets.UTF_8);
        copyLines(process.getInputStream(), consoleOutput, "out");
        copyLines(process.getErrorStream(), log, "log");
    }

    private void copyLines(InputStream source, Queue<String> lines, String streamName) {
        Thread thread = new Thread(
                () -> {
                    try (BufferedReader in =
                            new BufferedReader(new InputStreamReader(source, StandardCharsets.UTF_8))) {
                        for (String line = in.readLine(); line != null; line = in.readLine()) {
                            lines.add(line);
                        }
                    } catch (IOException e) {
                        lines.add("reading failed: " + e.getMessage());
                    }
                },
                "member-" + process.pid() + "-" + streamName);
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Discards the console output so far and writes a command to the console without waiting for the response. The
     * command stays in the pipe while the process is paused.
     */
    void sendCommand(String command) {
        consoleOutput.clear();
        consoleInput.println(command);
    }

    /** The member's view of the fleet; null if it does not respond in time. */
    JsonNode view() {
        sendCommand("fleet json");
        return awaitJsonResponse();
    }

    /** The JSON response to the last command; null if there is none in time. */
    JsonNode awaitJsonResponse() {
        try {
            String line = awaitLine("{");
            return line == null ? null : JSON.readTree(line);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("the member's view is not valid JSON", e);
        }
    }

    /** Executes a command and returns the first line of the response; null if there is none in time. */
    String execute(String command) {
        sendCommand(command);
        return awaitLine("");
    }

    private String awaitLine(String prefix) {
        try {
            long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RESPONSE_TIMEOUT_MILLIS);
            for (String line;
                    (line = consoleOutput.poll(deadlineNanos - System.nanoTime(), TimeUnit.NANOSECONDS)) != null; ) {
                if (line.startsWith(prefix)) {
                    return line;
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return null;
    }

    /** The lines logged so far, oldest first. */
    List<String> log() {
        return List.copyOf(log);
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Waits for the end of the process and returns its exit code; -1 after the timeout. */
    int awaitExit(long timeoutSeconds) throws InterruptedException {
        return process.waitFor(timeoutSeconds, TimeUnit.SECONDS) ? process.exitValue() : -1;
    }

    private void sendSignal(String signal) throws IOException {
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Suspends the process with SIGSTOP, which the process can neither handle nor observe. */
    void pause() throws IOException {
        sendSignal("STOP");
    }

    /** Continues the suspended process with SIGCONT. */
    void resume() throws IOException {
        sendSignal("CONT");
    }

    /** Asks the process to terminate with SIGTERM, as the platform does. */
    void terminate() {
        process.destroy();
    }

    /** Kills the process without waiting for its end. */
    void kill() {
        process.destroyForcibly();
    }

    @Override
    public void close() {
        kill();
        try {
            process.waitFor(KILL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
