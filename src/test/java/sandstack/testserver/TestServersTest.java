package sandstack.testserver;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import sandstack.testserver.LineClient.ClientEvent;
import sandstack.testserver.LineClient.EventType;

/** The test servers serve the test client and plain sockets. */
class TestServersTest {
    private static final long TIMEOUT_MICROS = 10_000_000;

    private final BlockingQueue<ClientEvent> events = new LinkedBlockingQueue<>();
    private final List<Socket> sockets = new ArrayList<>();
    private TestServerLoop loop;
    private int clientCount;

    @BeforeEach
    void start() throws IOException {
        loop = new TestServerLoop();
    }

    @AfterEach
    void stop() throws IOException {
        loop.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private FakeFeedServer server(ServerProfile profile) {
        return loop.create(() -> new FakeFeedServer(loop, "s1", "home", profile));
    }

    private LineClient client(int port) {
        String id = "i" + ++clientCount;
        return loop.call(
                () -> new LineClient(loop, port, id, "k", "c=order-status,d=10000,g=g1", TIMEOUT_MICROS, events::add));
    }

    private ClientEvent next() throws InterruptedException {
        ClientEvent next = events.poll(20, TimeUnit.SECONDS);
        assertThat(next).as("next event of a client within 20 s").isNotNull();
        return next;
    }

    @Test
    void rejectsConnectionsAboveItsLimitAndCountsThem() throws Exception {
        FakeFeedServer server = server(ServerProfile.UNLIMITED.withConnectionLimit(2, false));
        LineClient first = client(server.port());
        assertThat(next().type()).isEqualTo(EventType.ESTABLISHED);
        client(server.port());
        assertThat(next().type()).isEqualTo(EventType.ESTABLISHED);
        client(server.port());
        assertThat(next().type()).isEqualTo(EventType.REJECTED);
        loop.run(first::close);
        assertThat(next().type()).isEqualTo(EventType.CLOSED);
        FakeFeedServer.Counters counters = loop.call(server::counters);
        while (counters.established() > 1) {
            counters = loop.call(server::counters);
        }
        assertThat(counters.setups()).isEqualTo(2);
        assertThat(counters.rejected()).isEqualTo(1);
        assertThat(counters.maxEstablished()).isEqualTo(2);
        assertThat(loop.call(() -> server.establishedSeconds("c"))).containsOnlyKeys("order-status");
    }

    @Test
    void shedsTheNewestConnectionAboveItsLimit() throws Exception {
        FakeFeedServer server = server(ServerProfile.UNLIMITED.withConnectionLimit(1, true));
        LineClient first = client(server.port());
        assertThat(next().type()).isEqualTo(EventType.ESTABLISHED);
        client(server.port());
        ClientEvent last = next();
        assertThat(last.type() == EventType.ESTABLISHED ? next().type() : last.type())
                .isIn(EventType.DISCONNECTED, EventType.FAILED);
        assertThat(loop.call(first::isEstablished)).isTrue();
        assertThat(loop.call(server::counters).shed()).isEqualTo(1);
    }

    @Test
    void drainsMovesClientsAndRestartsAfterKill() throws Exception {
        FakeFeedServer server = server(ServerProfile.UNLIMITED);
        client(server.port());
        assertThat(next().type()).isEqualTo(EventType.ESTABLISHED);
        loop.run(server::drain);
        client(server.port());
        assertThat(next().type()).isEqualTo(EventType.REJECTED);
        loop.run(server::moveClients);
        assertThat(next().type()).isEqualTo(EventType.MOVED);
        loop.run(server::kill);
        client(server.port());
        assertThat(next().type()).isEqualTo(EventType.FAILED);
        assertThat(loop.call(server::restart)).isPositive();
        client(server.port());
        assertThat(next().type()).isEqualTo(EventType.ESTABLISHED);
    }

    @Test
    void noisyNeighbourDelaysLines() throws Exception {
        FakeFeedServer server = server(ServerProfile.UNLIMITED.withWork(1, 0, 2_000));
        LineClient client = client(server.port());
        assertThat(next().type()).isEqualTo(EventType.ESTABLISHED);
        BlockingQueue<Long> roundTripsMicros = new LinkedBlockingQueue<>();
        loop.run(() -> client.sendLines(1_000, roundTripsMicros::add));
        assertThat(roundTripsMicros.poll(20, TimeUnit.SECONDS)).isGreaterThanOrEqualTo(2_000);
        loop.run(() -> server.setNoisyNeighbourShare(0.99));
        long roundTripMicros = 0;
        while (roundTripMicros < 200_000) {
            roundTripMicros = roundTripsMicros.poll(20, TimeUnit.SECONDS);
        }
    }

    @Test
    void zoneLinkDelaysBothDirectionsAndKeepsTheOrder() throws Exception {
        FakeFeedServer server = server(ServerProfile.UNLIMITED);
        ZoneLink link = loop.create(() -> new ZoneLink(loop, server.port(), 20_000, 10_000, 3));
        client(link.port());
        ClientEvent establishedEvent = next();
        assertThat(establishedEvent.type()).isEqualTo(EventType.ESTABLISHED);
        assertThat(establishedEvent.elapsedMicros()).isGreaterThanOrEqualTo(40_000);
        BufferedReader in = open(link.port(), "OPEN a k c=x,d=9\r\n1\r\n2\r\n3\r\n");
        assertThat(in.readLine()).startsWith("UP");
        assertThat(List.of(in.readLine(), in.readLine(), in.readLine())).containsExactly("1", "2", "3");
    }

    private BufferedReader open(int port, String request) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        sockets.add(socket);
        socket.setSoTimeout(20_000);
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    }

    @Test
    void discoveryServesListAndChangesAndSimulatesOutages() throws Exception {
        FakeFeedServer server = server(ServerProfile.UNLIMITED);
        FakeDiscovery discovery = loop.create(() -> new FakeDiscovery(loop));
        loop.run(() -> discovery.publish(server, "box", 1, "ready"));
        BufferedReader in = open(discovery.port(), "GET /registry/instances?watch=1 HTTP/1.1\r\nHost: x\r\n\r\n");
        assertThat(in.readLine()).isEqualTo("HTTP/1.1 200 OK");
        assertThat(awaitLineWith(in, "\"all\"")).contains("\"all\":true").contains("\"state\":\"ready\"");
        loop.run(() -> discovery.publish(server, "box", 1, "draining"));
        assertThat(awaitLineWith(in, "\"all\"")).contains("\"all\":false").contains("\"state\":\"draining\"");
        loop.run(() -> discovery.setUnavailable(true));
        BufferedReader duringOutage = open(discovery.port(), "GET /registry/instances HTTP/1.1\r\nHost: x\r\n\r\n");
        assertThat(duringOutage.readLine()).isEqualTo("HTTP/1.1 503 Service Unavailable");
    }

    private static String awaitLineWith(BufferedReader in, String substring) throws IOException {
        String line = in.readLine();
        while (!line.contains(substring)) {
            line = in.readLine();
        }
        return line;
    }
}
