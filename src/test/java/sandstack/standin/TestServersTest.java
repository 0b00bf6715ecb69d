package sandstack.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
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
import sandstack.standin.ShopClient.Happened;
import sandstack.standin.ShopClient.Told;

/** The test servers and clients against each other and against plain sockets. */
class TestServersTest {
    private static final long TIMEOUT_MICROS = 10_000_000;

    private final BlockingQueue<Told> events = new LinkedBlockingQueue<>();
    private final List<Socket> sockets = new ArrayList<>();
    private StandInLoop loop;
    private int clientCount;

    @BeforeEach
    void start() throws IOException {
        loop = new StandInLoop();
    }

    @AfterEach
    void stop() throws IOException {
        loop.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private FeedServer server(Machine machine) {
        return loop.make(() -> new FeedServer(loop, "s1", "home", machine));
    }

    private ShopClient client(int port) {
        String id = "i" + ++clientCount;
        return loop.on(
                () -> new ShopClient(loop, port, id, "k", "c=order-status,d=10000,g=g1", TIMEOUT_MICROS, events::add));
    }

    private Told next() throws InterruptedException {
        Told next = events.poll(20, TimeUnit.SECONDS);
        assertThat(next).as("a client event").isNotNull();
        return next;
    }

    @Test
    void rejectsAboveItsConnectionLimitAndCounts() throws Exception {
        FeedServer server = server(Machine.IDLE.holding(2, false));
        ShopClient first = client(server.port());
        assertThat(next().what()).isEqualTo(Happened.UP);
        client(server.port());
        assertThat(next().what()).isEqualTo(Happened.UP);
        client(server.port());
        assertThat(next().what()).isEqualTo(Happened.BUSY);
        loop.run(first::leave);
        assertThat(next().what()).isEqualTo(Happened.LEFT);
        FeedServer.Books books = loop.on(server::books);
        while (books.standing() > 1) {
            books = loop.on(server::books);
        }
        assertThat(books.setups()).isEqualTo(2);
        assertThat(books.turnedAway()).isEqualTo(1);
        assertThat(books.mostStanding()).isEqualTo(2);
        assertThat(loop.on(() -> server.standingSeconds("c"))).containsOnlyKeys("order-status");
    }

    @Test
    void shedsTheNewestConnectionAboveItsLimit() throws Exception {
        FeedServer server = server(Machine.IDLE.holding(1, true));
        ShopClient first = client(server.port());
        assertThat(next().what()).isEqualTo(Happened.UP);
        client(server.port());
        Told last = next();
        assertThat(last.what() == Happened.UP ? next().what() : last.what()).isIn(Happened.LOST, Happened.FAILED);
        assertThat(loop.on(first::standing)).isTrue();
        assertThat(loop.on(server::books).shed()).isEqualTo(1);
    }

    @Test
    void drainsMovesClientsDiesAndRestarts() throws Exception {
        FeedServer server = server(Machine.IDLE);
        client(server.port());
        assertThat(next().what()).isEqualTo(Happened.UP);
        loop.run(server::drain);
        client(server.port());
        assertThat(next().what()).isEqualTo(Happened.BUSY);
        loop.run(server::sendAway);
        assertThat(next().what()).isEqualTo(Happened.MOVED);
        loop.run(server::kill);
        client(server.port());
        assertThat(next().what()).isEqualTo(Happened.FAILED);
        assertThat(loop.on(server::restart)).isPositive();
        client(server.port());
        assertThat(next().what()).isEqualTo(Happened.UP);
    }

    @Test
    void aNoisyNeighbourSlowsLinesDown() throws Exception {
        FeedServer server = server(Machine.IDLE.working(1, 0, 2_000));
        ShopClient client = client(server.port());
        assertThat(next().what()).isEqualTo(Happened.UP);
        BlockingQueue<Long> roundTripsMicros = new LinkedBlockingQueue<>();
        loop.run(() -> client.talk(1_000, roundTripsMicros::add));
        assertThat(roundTripsMicros.poll(20, TimeUnit.SECONDS)).isGreaterThanOrEqualTo(2_000);
        loop.run(() -> server.neighbour(0.99));
        long longestMicros = 0;
        while (longestMicros < 200_000) {
            longestMicros = roundTripsMicros.poll(20, TimeUnit.SECONDS);
        }
    }

    @Test
    void aLinkDelaysBothDirectionsAndKeepsTheOrder() throws Exception {
        FeedServer server = server(Machine.IDLE);
        ZoneLink link = loop.make(() -> new ZoneLink(loop, server.port(), 20_000, 10_000, 3));
        client(link.port());
        Told up = next();
        assertThat(up.what()).isEqualTo(Happened.UP);
        assertThat(up.after()).isGreaterThanOrEqualTo(40_000);
        BufferedReader in = open(link.port(), "OPEN a k c=x,d=9\r\n1\r\n2\r\n3\r\n");
        assertThat(in.readLine()).startsWith("UP");
        assertThat(List.of(in.readLine(), in.readLine(), in.readLine())).containsExactly("1", "2", "3");
    }

    private BufferedReader open(int port, String request) throws IOException {
        Socket socket = new Socket("127.0.0.1", port);
        sockets.add(socket);
        socket.setSoTimeout(20_000);
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    }

    @Test
    void discoveryServesTheListItsChangesAndOutages() throws Exception {
        FeedServer server = server(Machine.IDLE);
        Discovery discovery = loop.make(() -> new Discovery(loop));
        loop.run(() -> discovery.list(server, "box", 1, "ready"));
        BufferedReader in = open(discovery.port(), "GET /registry/instances?watch=1 HTTP/1.1\r\nHost: x\r\n\r\n");
        assertThat(in.readLine()).isEqualTo("HTTP/1.1 200 OK");
        assertThat(awaitLineWith(in, "\"all\"")).contains("\"all\":true").contains("\"state\":\"ready\"");
        loop.run(() -> discovery.list(server, "box", 1, "draining"));
        assertThat(awaitLineWith(in, "\"all\"")).contains("\"all\":false").contains("\"state\":\"draining\"");
        loop.run(() -> discovery.down(true));
        BufferedReader refused = open(discovery.port(), "GET /registry/instances HTTP/1.1\r\nHost: x\r\n\r\n");
        assertThat(refused.readLine()).isEqualTo("HTTP/1.1 503 Service Unavailable");
    }

    private static String awaitLineWith(BufferedReader in, String substring) throws IOException {
        String line = in.readLine();
        while (!line.contains(substring)) {
            line = in.readLine();
        }
        return line;
    }
}
