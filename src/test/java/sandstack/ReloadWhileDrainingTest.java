package sandstack;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import sandstack.testserver.FakeDiscovery;
import sandstack.testserver.FakeFeedServer;
import sandstack.testserver.LineClient;
import sandstack.testserver.LineClient.EventType;
import sandstack.testserver.ServerProfile;
import sandstack.testserver.TestServerLoop;

/** SIGHUP while a relay shuts down gracefully, and while a feed server drains. */
@Timeout(60)
class ReloadWhileDrainingTest {
    private static final int CLIENTS = 20;
    private static final long LINE_INTERVAL_MICROS = 20_000;
    private static final long RESPONSE_TIMEOUT_MICROS = 5_000_000;
    private static final int SIGTERM_EXIT_CODE = 128 + 15;

    @TempDir
    Path folder;

    private final TestServerLoop testServerLoop;
    private final List<FakeDiscovery> discoveries = new ArrayList<>();
    private final List<FakeFeedServer> servers = new ArrayList<>();
    private final Map<EventType, Integer> eventCounts = new EnumMap<>(EventType.class);
    private RelayLauncher launcher;
    private Process relay;
    private int clientCount;

    ReloadWhileDrainingTest() throws IOException {
        testServerLoop = new TestServerLoop();
        for (int i = 0; i < 2; i++) {
            discoveries.add(testServerLoop.create(() -> new FakeDiscovery(testServerLoop)));
            String uid = "s" + i;
            servers.add(testServerLoop.create(
                    () -> new FakeFeedServer(testServerLoop, uid, "home", ServerProfile.UNLIMITED)));
        }
        testServerLoop.run(() -> discoveries.forEach(d -> servers.forEach(s -> d.publish(s, "box", 1, "ready"))));
    }

    @BeforeEach
    void start() throws Exception {
        launcher = new RelayLauncher(folder);
        relay = launcher.start("", "relay", Files.writeString(folder.resolve("relay.json"), config(0, 1_000_000)));
    }

    @AfterEach
    void stop() {
        launcher.stop();
        testServerLoop.close();
    }

    private String config(int discovery, int deadlineMicros) throws IOException {
        return Files.readString(Path.of("examples/config.json"))
                .replace(
                        "127.0.0.1:8500",
                        "127.0.0.1:" + discoveries.get(discovery).port())
                .replaceAll("\"deadline_us\": [0-9]+", "\"deadline_us\": " + deadlineMicros)
                .replaceFirst("\"known\": *\\{[^]]*]\\s*},", "");
    }

    private void reload(int discovery, int deadlineMicros) throws Exception {
        Files.writeString(folder.resolve("relay.json"), config(discovery, deadlineMicros));
        assertThat(new ProcessBuilder("kill", "-HUP", Long.toString(relay.pid()))
                        .start()
                        .waitFor())
                .isZero();
        launcher.awaitLogged(
                "relay",
                "configuration reloaded discovery=127.0.0.1:"
                        + discoveries.get(discovery).port());
    }

    private void onEvent(LineClient.ClientEvent event) {
        eventCounts.merge(event.type(), 1, Integer::sum);
        if (event.type() == EventType.ESTABLISHED) {
            event.client().sendLines(LINE_INTERVAL_MICROS, roundTripMicros -> {});
        }
    }

    private void connectClients(int clients) throws Exception {
        int port = launcher.port("relay");
        testServerLoop.run(() -> {
            for (int i = 0; i < clients; i++, clientCount++) {
                new LineClient(
                        testServerLoop,
                        port,
                        "id" + clientCount,
                        "key" + clientCount,
                        "c=order-status,d=1000,g=g" + clientCount,
                        RESPONSE_TIMEOUT_MICROS,
                        this::onEvent);
            }
        });
    }

    /** Waits up to 20 s for a condition that is evaluated on the loop; fails with the events and the log. */
    private void awaitTrue(BooleanSupplier condition) throws Exception {
        for (long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
                !testServerLoop.call(condition::getAsBoolean); ) {
            assertThat(System.nanoTime())
                    .as(
                            "events of %d clients: %s; log: %s",
                            clientCount, testServerLoop.call(() -> Map.copyOf(eventCounts)), launcher.log("relay"))
                    .isLessThan(end);
            Thread.sleep(1);
        }
    }

    private int count(EventType type) {
        return eventCounts.getOrDefault(type, 0);
    }

    private int establishedAt(int server) {
        return servers.get(server).counters().established();
    }

    /** Deadlines and discovery change twice while the clients of a relay that shuts down wait for their migration. */
    @Test
    void aDrainingRelayMigratesItsClientsDespiteReloads() throws Exception {
        connectClients(CLIENTS);
        awaitTrue(() -> count(EventType.ESTABLISHED) == CLIENTS);
        relay.destroy();
        assertThat(launcher.awaitLogged("relay", "graceful shutdown started")).endsWith(" count=" + CLIENTS);
        reload(1, 30_000_000);
        reload(0, 300_000);
        assertThat(relay.waitFor(20, TimeUnit.SECONDS)).isTrue();
        assertThat(relay.exitValue()).isEqualTo(SIGTERM_EXIT_CODE);
        assertThat(launcher.log("relay")).contains("relay stopped").doesNotContain("SEVERE", "Exception");
        assertThat(testServerLoop.call(() -> Map.copyOf(eventCounts)))
                .as("events of clients: each established and migrated, no other")
                .containsOnly(Map.entry(EventType.ESTABLISHED, CLIENTS), Map.entry(EventType.MOVED, CLIENTS));
    }

    /** The discovery that listed the server as draining is replaced, and the new one has not sent a list yet. */
    @Test
    void aDrainingFeedServerGetsNoNewRequestsAfterAChangeOfDiscovery() throws Exception {
        connectClients(CLIENTS);
        awaitTrue(() -> count(EventType.ESTABLISHED) == CLIENTS && establishedAt(0) > 0);
        // counted before the drain, because the relay may migrate some of these clients before their feed server does
        int establishedBeforeDrain = testServerLoop.call(() -> establishedAt(0));
        int requestsBeforeDrain = testServerLoop.call(() -> {
            discoveries.get(1).setUnavailable(true);
            servers.get(0).drain();
            discoveries.get(0).publish(servers.get(0), "box", 1, "draining");
            return (int) servers.get(0).counters().requests();
        });
        launcher.awaitLogged("relay", "endpoint state changed server=s0 state=DRAINING");
        reload(1, 1_000_000);
        connectClients(CLIENTS);
        awaitTrue(() -> count(EventType.ESTABLISHED) == 2 * CLIENTS);
        assertThat(testServerLoop.call(() -> (int) servers.get(0).counters().requests()))
                .as("requests that reached the draining server, unchanged since the drain started")
                .isEqualTo(requestsBeforeDrain);
        testServerLoop.run(() -> {
            discoveries.get(1).publish(servers.get(0), "box", 1, "gone");
            discoveries.get(1).setUnavailable(false);
            servers.get(0).moveClients();
        });
        awaitTrue(() -> count(EventType.MOVED) == establishedBeforeDrain);
        connectClients(CLIENTS);
        awaitTrue(() -> count(EventType.ESTABLISHED) == 3 * CLIENTS);
        assertThat(testServerLoop.call(() -> (int) servers.get(0).counters().requests()))
                .isEqualTo(requestsBeforeDrain);
        assertThat(testServerLoop.call(() -> Map.copyOf(eventCounts)))
                .containsOnly(
                        Map.entry(EventType.ESTABLISHED, 3 * CLIENTS),
                        Map.entry(EventType.MOVED, establishedBeforeDrain));
        assertThat(launcher.log("relay")).doesNotContain("SEVERE", "Exception");
    }
}
