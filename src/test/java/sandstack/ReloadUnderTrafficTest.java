package sandstack;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import sandstack.testserver.FakeDiscovery;
import sandstack.testserver.FakeFeedServer;
import sandstack.testserver.LineClient;
import sandstack.testserver.LineClient.EventType;
import sandstack.testserver.ServerProfile;
import sandstack.testserver.TestServerLoop;

/** Repeated SIGHUP under steady traffic: settings and discovery change while no connection and no line is lost. */
@Timeout(60)
class ReloadUnderTrafficTest {
    private static final Pattern LISTENER_OPENED =
            Pattern.compile("listener opened relay=\\S+ protocol=lines address=127.0.0.1:([0-9]+)");
    private static final int RELOADS = 10;
    private static final int LONG_LIVED_CLIENTS = 40;
    private static final long LINE_INTERVAL_MICROS = 20_000;
    private static final long CLIENT_INTERVAL_MICROS = 5_000;
    private static final long CONNECTION_LIFE_MICROS = 300_000;
    private static final long RESPONSE_TIMEOUT_MICROS = 5_000_000;

    @TempDir
    Path folder;

    private final TestServerLoop testServerLoop;
    private final List<FakeDiscovery> discoveries = new ArrayList<>();
    private final List<FakeFeedServer> servers = new ArrayList<>();
    private final Map<EventType, Integer> eventCounts = new EnumMap<>(EventType.class);
    private final List<LineClient> longLivedClients = new ArrayList<>();
    private Process relay;
    private BufferedReader log;
    private int port;
    private int clientCount;
    private long roundTrips;
    private boolean connecting = true;

    ReloadUnderTrafficTest() throws IOException {
        testServerLoop = new TestServerLoop();
        for (int i = 0; i < 2; i++) {
            discoveries.add(testServerLoop.create(() -> new FakeDiscovery(testServerLoop)));
            String uid = "s" + i;
            servers.add(testServerLoop.create(
                    () -> new FakeFeedServer(testServerLoop, uid, "home", ServerProfile.UNLIMITED)));
        }
        // both discoveries list both servers, so that a change of discovery changes no placement
        testServerLoop.run(() -> discoveries.forEach(d -> servers.forEach(s -> d.publish(s, "box", 1, "ready"))));
    }

    @AfterEach
    void end() throws Exception {
        testServerLoop.close();
        if (relay != null) {
            relay.destroyForcibly().waitFor();
        }
    }

    /**
     * The configuration for a reload. Odd reloads have another class, fewer attempts and the other discovery. None has
     * a list of feed servers, so that all servers come from discovery.
     */
    private String config(int reload) throws IOException {
        String text = Files.readString(Path.of("examples/config.json"))
                .replace("127.0.0.1:3000", "127.0.0.1:0")
                .replaceFirst(
                        "(\"discovery\": *)\"[^\"]*\"",
                        "$1\"127.0.0.1:" + discoveries.get(reload % 2).port() + "\"")
                .replaceFirst("\"known\": *\\{[^]]*]\\s*},", "");
        return reload % 2 == 0
                ? text
                : text.replace("\"catalogue-feed\"", "\"price-feed\"")
                        .replace("\"max_attempts\": 6", "\"max_attempts\": 2");
    }

    private void awaitLogged(String text) throws Exception {
        CompletableFuture.runAsync(() -> {
                    try {
                        String line;
                        do {
                            line = log.readLine();
                            assertThat(line).as("log line with: " + text).isNotNull();
                            Matcher listenerOpened = LISTENER_OPENED.matcher(line);
                            port = listenerOpened.find() ? Integer.parseInt(listenerOpened.group(1)) : port;
                        } while (!line.contains(text));
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                })
                .get(20, TimeUnit.SECONDS);
    }

    private void onEvent(LineClient.ClientEvent event) {
        eventCounts.merge(event.type(), 1, Integer::sum);
        if (event.type() == EventType.ESTABLISHED) {
            event.client().sendLines(LINE_INTERVAL_MICROS, roundTripMicros -> roundTrips++);
            if (!longLivedClients.contains(event.client())) {
                testServerLoop.schedule(CONNECTION_LIFE_MICROS, event.client()::close);
            }
        }
    }

    /** Connects a client that closes after {@link #CONNECTION_LIFE_MICROS}, and schedules the next one. */
    private void connectShortLivedClients() {
        if (connecting) {
            connectClient();
            testServerLoop.schedule(CLIENT_INTERVAL_MICROS, this::connectShortLivedClients);
        }
    }

    private LineClient connectClient() {
        int number = clientCount++;
        return new LineClient(
                testServerLoop,
                port,
                "id" + number,
                "key" + number,
                "c=order-status,d=3000,g=g" + number % 5,
                RESPONSE_TIMEOUT_MICROS,
                this::onEvent);
    }

    /** The number of events that end a client's request or connection. */
    private int endedClients() {
        return eventCounts.entrySet().stream()
                .filter(e -> e.getKey() != EventType.ESTABLISHED)
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    private int count(EventType type) {
        return testServerLoop.call(() -> eventCounts.getOrDefault(type, 0));
    }

    @Test
    void noConnectionAndNoLineIsLostWhileSettingsAndDiscoveryChange() throws Exception {
        Path file = Files.writeString(folder.resolve("config.json"), config(0));
        ProcessBuilder processBuilder = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin/java").toString(),
                        "-Dsandstack.deploy=" + folder,
                        "-cp",
                        System.getProperty("java.class.path"),
                        "sandstack.Main",
                        "serve")
                .redirectErrorStream(true);
        processBuilder.environment().put("PROXY_CONFIG", file.toString());
        relay = processBuilder.start();
        log = relay.inputReader();
        awaitLogged(" protocol=lines address=");
        testServerLoop.run(() -> {
            for (int i = 0; i < LONG_LIVED_CLIENTS; i++) {
                longLivedClients.add(connectClient());
            }
            connectShortLivedClients();
        });
        for (int reload = 1; reload <= RELOADS; reload++) {
            // waits until the current settings have served 20 more clients
            int establishedBefore = count(EventType.ESTABLISHED);
            while (count(EventType.ESTABLISHED) < establishedBefore + 20) {
                assertThat(relay.isAlive()).isTrue();
                Thread.onSpinWait();
            }
            Files.writeString(file, config(reload));
            assertThat(new ProcessBuilder("kill", "-HUP", Long.toString(relay.pid()))
                            .start()
                            .waitFor())
                    .isZero();
            awaitLogged("configuration reloaded");
        }
        testServerLoop.run(() -> connecting = false);
        while (testServerLoop.call(this::endedClients) < clientCount - LONG_LIVED_CLIENTS) {
            assertThat(relay.isAlive()).isTrue();
            Thread.onSpinWait();
        }
        assertThat(testServerLoop.call(() -> Map.copyOf(eventCounts)))
                .as("events of clients: each established, the short-lived ones closed by the client")
                .containsOnly(
                        Map.entry(EventType.ESTABLISHED, clientCount),
                        Map.entry(EventType.CLOSED, clientCount - LONG_LIVED_CLIENTS));
        assertThat(testServerLoop.call(() -> longLivedClients.stream()
                        .filter(LineClient::isEstablished)
                        .count()))
                .isEqualTo(LONG_LIVED_CLIENTS);
        long completedRoundTrips = testServerLoop.call(() -> roundTrips);
        assertThat(completedRoundTrips).as("completed round trips of lines").isGreaterThan(clientCount);
        assertThat(testServerLoop.call(() -> longLivedClients.stream()
                        .mapToLong(LineClient::lineInFlightMicros)
                        .max()
                        .orElse(0)))
                .as("longest wait for a line in flight, in microseconds")
                .isLessThan(1_000_000);
        long attempts = servers.stream()
                .mapToLong(server -> testServerLoop.call(server::counters).setups())
                .sum();
        assertThat(attempts).as("attempts at feed servers: one per client").isEqualTo(clientCount);
    }
}
