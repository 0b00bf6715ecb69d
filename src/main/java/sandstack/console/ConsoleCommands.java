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

/** What the console can show and do. Each answer is read off on the relay's own thread. */
public final class ConsoleCommands {
    private final Relay relay;
    private final Executor loop;
    private final Supplier<List<String>> listeners;
    private final Runnable drain;
    private final Map<String, Supplier<List<String>>> commands = new LinkedHashMap<>();
    /** Commands that are followed by one more word. */
    private final Map<String, Function<String, List<String>>> withWord = new LinkedHashMap<>();

    /**
     * Creates the commands of this relay.
     *
     * @param loop runs what is given on the relay's thread
     * @param listeners a line for each address at which the relay listens
     * @param drain begins to take the relay out of service
     * @param more commands of parts that are on
     * @param moreWithWord the same for commands that are followed by one more word; on the caller's thread, and bounded
     */
    public ConsoleCommands(
            Relay relay,
            Executor loop,
            Supplier<List<String>> listeners,
            Runnable drain,
            Map<String, Supplier<List<String>>> more,
            Map<String, Function<String, List<String>>> moreWithWord) {
        this.relay = relay;
        this.loop = loop;
        this.listeners = listeners;
        this.drain = drain;
        commands.put("listeners", this::listeners);
        commands.put("names", this::names);
        commands.put("standing", this::standing);
        commands.put("endings", this::endings);
        commands.put("tenants", this::tenants);
        commands.put("figures", relay::metricLines);
        commands.put("drain", this::drain);
        commands.putAll(more);
        commands.put(
                "help",
                () -> List.of("commands: " + String.join(", ", commands.keySet())
                        + withWord.keySet().stream()
                                .map(w -> ", " + w + " NAME")
                                .collect(Collectors.joining()) + ", quit"));
        withWord.putAll(moreWithWord);
    }

    /** The words it understands. */
    Set<String> words() {
        Set<String> words = new LinkedHashSet<>(commands.keySet());
        words.addAll(withWord.keySet());
        return words;
    }

    /** The answer to one line, as lines of text. */
    public List<String> answer(String line) {
        String word = line.trim();
        if (word.isEmpty()) {
            return List.of();
        }
        int last = word.lastIndexOf(' ');
        Function<String, List<String>> named =
                last < 0 ? null : withWord.get(word.substring(0, last).trim());
        if (named != null) {
            return named.apply(word.substring(last + 1));
        }
        Supplier<List<String>> command = commands.get(word);
        if (command == null) {
            return List.of("no such command: " + word + "; try help");
        }
        CompletableFuture<List<String>> answer = new CompletableFuture<>();
        loop.execute(() -> answer.complete(command.get()));
        try {
            return answer.get(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return List.of("interrupted");
        } catch (ExecutionException | TimeoutException e) {
            return List.of("the relay does not answer");
        }
    }

    private List<String> listeners() {
        return listeners.get();
    }

    private List<String> names() {
        List<String> lines = new ArrayList<>();
        lines.add("version " + relay.endpoints().version());
        for (EndpointRegistry.Endpoint line : relay.endpoints().endpoints()) {
            lines.add(String.format(
                    "%-16s %-22s zone %d  %s",
                    line.entry().serverId(),
                    line.host() + ":" + line.port(),
                    line.entry().zone(),
                    line.entry().state()));
        }
        return lines;
    }

    private List<String> standing() {
        Map<String, Integer> at = new LinkedHashMap<>();
        int waiting = 0;
        for (ClientSession client : relay.clients()) {
            ConnectionAttempt execution = client.attempt();
            if (execution != null && execution.isEstablished()) {
                at.merge(execution.endpoint().entry().serverId(), 1, Integer::sum);
            } else {
                waiting++;
            }
        }
        List<String> lines = new ArrayList<>();
        at.forEach((server, count) -> lines.add(String.format("%-16s %d standing", server, count)));
        lines.add(waiting + " waiting for a feed server");
        return lines;
    }

    private List<String> endings() {
        List<String> lines = new ArrayList<>();
        relay.outcomeCounts().forEach((ending, count) -> lines.add(String.format("%-16s %d", ending, count)));
        relay.rejectionCounts().forEach((cause, count) -> lines.add(String.format("refused: %-12s %d", cause, count)));
        return lines.isEmpty() ? List.of("nothing has ended yet") : lines;
    }

    private List<String> tenants() {
        List<String> lines = new ArrayList<>();
        for (TenantRegistry.Entry tenant : relay.tenants().entries()) {
            lines.add(String.format(
                    "%-16s share %.2f  connections %.0f",
                    tenant.name(), tenant.serviceShare(), tenant.connectionQuota()));
        }
        return lines.isEmpty() ? List.of("no tenants") : lines;
    }

    private List<String> drain() {
        if (relay.isDraining()) {
            return List.of("draining already");
        }
        drain.run();
        return List.of("draining: clients are moved, the relay stops after the last");
    }
}
