package sandstack.console;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import sandstack.core.ClientSession;
import sandstack.core.ConnectionAttempt;
import sandstack.core.EndpointRegistry;
import sandstack.core.Relay;
import sandstack.core.TenantRegistry;

/**
 * The commands of the console. A command without argument runs on the relay's thread while {@link #answer} waits for
 * it, up to {@value #ANSWER_TIMEOUT_SECONDS} seconds; a command with an argument runs on the caller's thread.
 *
 * <p>{@code names} prints the endpoint list, {@code standing} the established connections by feed server,
 * {@code endings} the outcomes of connections and the rejections, and {@code figures} the metrics.
 */
public final class ConsoleCommands {
    private static final int ANSWER_TIMEOUT_SECONDS = 5;

    private final Relay relay;
    private final Executor relayExecutor;
    private final Supplier<List<String>> listeners;
    private final Runnable drain;
    private final Map<String, Supplier<List<String>>> commands = new LinkedHashMap<>();
    /** Commands with one argument, by the words that precede the argument. */
    private final Map<String, Function<String, List<String>>> commandsWithArgument = new LinkedHashMap<>();

    /**
     * Creates the commands of a relay.
     *
     * @param relayExecutor runs tasks on the relay's thread
     * @param listeners supplies one line for each address at which the relay listens
     * @param drain starts a graceful shutdown
     * @param additionalCommands commands without argument of optional components, by the words that the user enters
     * @param additionalCommandsWithArgument commands of optional components that take one argument, by the words that
     *     precede the argument; they must return in bounded time, because {@link #answer} sets no timeout for them
     */
    public ConsoleCommands(
            Relay relay,
            Executor relayExecutor,
            Supplier<List<String>> listeners,
            Runnable drain,
            Map<String, Supplier<List<String>>> additionalCommands,
            Map<String, Function<String, List<String>>> additionalCommandsWithArgument) {
        this.relay = relay;
        this.relayExecutor = relayExecutor;
        this.listeners = listeners;
        this.drain = drain;
        commands.put("listeners", this::listenerLines);
        commands.put("names", this::endpointLines);
        commands.put("standing", this::connectionLines);
        commands.put("endings", this::outcomeLines);
        commands.put("tenants", this::tenantLines);
        commands.put("figures", relay::metricLines);
        commands.put("drain", this::startDrain);
        commands.putAll(additionalCommands);
        commands.put("help", this::helpLines);
        commandsWithArgument.putAll(additionalCommandsWithArgument);
    }

    /** The words of all commands, for tab completion. */
    Set<String> completions() {
        Set<String> completions = new LinkedHashSet<>(commands.keySet());
        completions.addAll(commandsWithArgument.keySet());
        return completions;
    }

    /** Runs the command in this input line and returns its output lines; empty for a blank line. */
    public List<String> answer(String line) {
        String text = line.trim();
        if (text.isEmpty()) {
            return List.of();
        }
        int lastSpace = text.lastIndexOf(' ');
        Function<String, List<String>> commandWithArgument = lastSpace < 0
                ? null
                : commandsWithArgument.get(text.substring(0, lastSpace).trim());
        if (commandWithArgument != null) {
            return commandWithArgument.apply(text.substring(lastSpace + 1));
        }
        Supplier<List<String>> command = commands.get(text);
        if (command == null) {
            return List.of("no such command: " + text + "; try help");
        }
        return runOnRelayThread(command);
    }

    private List<String> runOnRelayThread(Supplier<List<String>> command) {
        CompletableFuture<List<String>> answer = new CompletableFuture<>();
        relayExecutor.execute(() -> answer.complete(command.get()));
        try {
            return answer.get(ANSWER_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return List.of("interrupted");
        } catch (ExecutionException | TimeoutException e) {
            return List.of("the relay does not answer");
        }
    }

    private List<String> helpLines() {
        String withArgument = commandsWithArgument.keySet().stream()
                .map(name -> ", " + name + " NAME")
                .collect(Collectors.joining());
        return List.of("commands: " + String.join(", ", commands.keySet()) + withArgument + ", quit");
    }

    private List<String> listenerLines() {
        return listeners.get();
    }

    private List<String> endpointLines() {
        List<String> lines = new ArrayList<>();
        lines.add("version " + relay.endpoints().version());
        for (EndpointRegistry.Endpoint endpoint : relay.endpoints().endpoints()) {
            lines.add(String.format(
                    "%-16s %-22s zone %d  %s",
                    endpoint.entry().serverId(),
                    endpoint.host() + ":" + endpoint.port(),
                    endpoint.entry().zone(),
                    endpoint.entry().state()));
        }
        return lines;
    }

    private List<String> connectionLines() {
        Map<String, Integer> connectionsByServer = new LinkedHashMap<>();
        int waiting = 0;
        for (ClientSession client : relay.clients()) {
            ConnectionAttempt attempt = client.attempt();
            if (attempt != null && attempt.isEstablished()) {
                connectionsByServer.merge(attempt.endpoint().entry().serverId(), 1, Integer::sum);
            } else {
                waiting++;
            }
        }
        List<String> lines = new ArrayList<>();
        connectionsByServer.forEach((server, count) -> lines.add(String.format("%-16s %d standing", server, count)));
        lines.add(waiting + " waiting for a feed server");
        return lines;
    }

    private List<String> outcomeLines() {
        List<String> lines = new ArrayList<>();
        relay.outcomeCounts().forEach((outcome, count) -> lines.add(String.format("%-16s %d", outcome, count)));
        relay.rejectionCounts().forEach((cause, count) -> lines.add(String.format("refused: %-12s %d", cause, count)));
        return lines.isEmpty() ? List.of("nothing has ended yet") : lines;
    }

    private List<String> tenantLines() {
        List<String> lines = new ArrayList<>();
        for (TenantRegistry.Entry tenant : relay.tenants().entries()) {
            lines.add(String.format(
                    "%-16s share %.2f  connections %.0f",
                    tenant.name(), tenant.serviceShare(), tenant.connectionQuota()));
        }
        return lines.isEmpty() ? List.of("no tenants") : lines;
    }

    private List<String> startDrain() {
        if (relay.isDraining()) {
            return List.of("draining already");
        }
        drain.run();
        return List.of("draining: clients are moved, the relay stops after the last");
    }
}
