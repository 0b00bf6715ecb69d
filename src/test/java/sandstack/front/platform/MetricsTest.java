package sandstack.front.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import sandstack.capacity.InstallationLimits;
import sandstack.capacity.StatedCapacities;
import sandstack.core.EffectiveSettings;
import sandstack.core.EndpointRegistry;
import sandstack.core.Relay;
import sandstack.decisions.EndpointEntry;
import sandstack.decisions.EndpointListKind;
import sandstack.decisions.EndpointState;
import sandstack.front.operators.OperatorFront;
import sandstack.net.ConnectionAdmission;
import sandstack.net.EventLoop;
import sandstack.settings.TestSettings;
import sandstack.testserver.FakeFeedServer;
import sandstack.testserver.LineClient;
import sandstack.testserver.LineClient.ClientEvent;
import sandstack.testserver.LineClient.EventType;
import sandstack.testserver.ServerProfile;
import sandstack.testserver.TestServerLoop;

/** The relay's metrics equal the counts of test clients and fake feed servers, and are available under load. */
@Timeout(30)
class MetricsTest {
    private static final List<String> CLASSES = List.of("light", "heavy");
    private static final int CLIENTS = 60;

    private final TestServerLoop testServers = new TestServerLoop();
    private final EventLoop loop = new EventLoop();
    private final BlockingQueue<ClientEvent> clientEvents = new LinkedBlockingQueue<>();
    private final Relay relay;
    private final int port;

    MetricsTest() throws IOException {
        relay = new Relay(
                new EffectiveSettings(TestSettings.oneRelayWithGroups(), CLASSES, true),
                StatedCapacities.NONE,
                InstallationLimits.NONE,
                5,
                loop::nowMicros,
                () -> {});
        loop.start(relay::runTurn, relay::nextTurnMicros);
        port = new PlatformFront(loop, relay, new ConnectionAdmission(loop, relay.deadlines(), 400))
                .listen("127.0.0.1", 0);
    }

    @AfterEach
    void stop() throws IOException {
        loop.stop();
        testServers.close();
    }

    private Map<String, Long> metrics() throws Exception {
        CompletableFuture<List<String>> lines = new CompletableFuture<>();
        loop.execute(() -> lines.complete(relay.metricLines()));
        Map<String, Long> metrics = new HashMap<>();
        for (String line : lines.get(10, TimeUnit.SECONDS)) {
            assertThat(line).matches("edge_proxy\\.[a-z_.]+=[0-9]+");
            metrics.put(
                    line.substring("edge_proxy.".length(), line.indexOf('=')),
                    Long.parseLong(line.substring(line.indexOf('=') + 1)));
        }
        return metrics;
    }

    private FakeFeedServer server(String serverId, int connectionLimit) {
        return testServers.create(() -> new FakeFeedServer(
                testServers, serverId, "home", ServerProfile.UNLIMITED.withConnectionLimit(connectionLimit, false)));
    }

    private static EndpointRegistry.Endpoint endpoint(String serverId, int port, EndpointState state) {
        return new EndpointRegistry.Endpoint(new EndpointEntry(serverId, 0, 0, 0, 0, state, 1), "127.0.0.1", port);
    }

    /**
     * Idle clients use up the descriptors for clients. The operators' port has its own, and answers although
     * connections without a command use these up too.
     */
    @Test
    void areAnsweredWithinASecondDuringABurstOfConnections() throws Exception {
        int operatorPort =
                new OperatorFront(loop, relay.deadlines(), () -> null, relay::metricLines).listen("127.0.0.1", 0);
        List<Socket> idleConnections = new ArrayList<>();
        long longestNanos = 0;
        for (int i = 0; i < 1500; i++) {
            idleConnections.add(new Socket(InetAddress.getLoopbackAddress(), port));
            if (i % 30 == 0) {
                idleConnections.add(new Socket(InetAddress.getLoopbackAddress(), operatorPort));
                long startNanos = System.nanoTime();
                try (Socket operator = new Socket(InetAddress.getLoopbackAddress(), operatorPort)) {
                    operator.getOutputStream().write("INFO\r\n".getBytes(StandardCharsets.UTF_8));
                    assertThat(new String(operator.getInputStream().readAllBytes(), StandardCharsets.UTF_8))
                            .startsWith("ACK\r\n")
                            .endsWith("--\r\n");
                }
                longestNanos = Math.max(longestNanos, System.nanoTime() - startNanos);
            }
        }
        assertThat(longestNanos)
                .as("longest time from connecting to the complete answer, in nanoseconds")
                .isLessThan(1_000_000_000L);
        for (Socket socket : idleConnections) {
            socket.close();
        }
    }

    @Test
    void equalTheCountsOfClientsAndFeedServers() throws Exception {
        List<FakeFeedServer> servers = List.of(server("s1", 10), server("s2", 10));
        // s3 and s4 are draining: they count in pool_size and get no requests
        loop.execute(() -> relay.onEndpointList(new EndpointRegistry.Update(
                EndpointListKind.FULL,
                1,
                List.of(
                        endpoint("s1", servers.get(0).port(), EndpointState.READY),
                                endpoint("s2", servers.get(1).port(), EndpointState.READY),
                        endpoint("s3", 1, EndpointState.DRAINING), endpoint("s4", 1, EndpointState.DRAINING)))));
        for (int i = 0; i < CLIENTS; i++) {
            String id = "i" + i;
            String className = CLASSES.get(i % 2);
            testServers.call(() -> new LineClient(
                    testServers, port, id, id, "c=" + className + ",d=1500", 10_000_000, clientEvents::add));
        }
        Map<EventType, Integer> outcomeCounts = new EnumMap<>(EventType.class);
        List<LineClient> establishedClients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            ClientEvent next = clientEvents.take();
            outcomeCounts.merge(next.type(), 1, Integer::sum);
            if (next.type() == EventType.ESTABLISHED) {
                establishedClients.add(next.client());
            }
        }
        // two malformed requests: extra input after a valid line, which counts for its class, and an unknown class
        for (String request : List.of("OPEN x k c=light,d=1500\r\nmore\r\n", "OPEN y k c=none,d=1500\r\n")) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
                assertThat(new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8))
                        .isEqualTo("ERR\r\n");
            }
        }
        Map<String, Long> metrics = metrics();
        assertThat(outcomeCounts).containsOnlyKeys(EventType.ESTABLISHED, EventType.REJECTED);
        assertThat(metrics.get("responses.light.ok") + metrics.get("responses.heavy.ok"))
                .isEqualTo(outcomeCounts.get(EventType.ESTABLISHED).longValue())
                .isEqualTo(20);
        assertThat(metrics.get("responses.light.shed") + metrics.get("responses.heavy.shed"))
                .isEqualTo(outcomeCounts.get(EventType.REJECTED).longValue());
        assertThat(metrics)
                .containsEntry("responses.light.errors", 1L)
                .containsEntry("responses.heavy.errors", 0L)
                .containsEntry("active", 20L)
                .containsEntry("pool_size", 4L)
                .containsEntry("config_applied", 0L)
                .containsEntry("config_rejected", 0L);
        assertThat(metrics.get("pool_ejected")).isBetween(2L, 4L);
        long serverRequests = servers.stream()
                .mapToLong(server -> testServers.call(server::counters).requests())
                .sum();
        assertThat(metrics).containsEntry("tries", serverRequests);
        assertThat(metrics.get("responses.light.tries") + metrics.get("responses.heavy.tries"))
                .isEqualTo(serverRequests);
        establishedClients.forEach(client -> testServers.run(client::close));
        while (metrics().get("active") > 0) {
            Thread.onSpinWait();
        }
    }
}
