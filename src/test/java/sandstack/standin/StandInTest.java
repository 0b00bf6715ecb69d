package sandstack.standin;

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
import sandstack.standin.ShopClient.Happened;
import sandstack.standin.ShopClient.Told;

/** The stand-ins against each other and against plain sockets: what a measurement rests on. */
class StandInTest {
    private static final long PATIENCE = 10_000_000;

    private final BlockingQueue<Told> told = new LinkedBlockingQueue<>();
    private final List<Socket> sockets = new ArrayList<>();
    private StandInLoop yard;
    private int asked;

    @BeforeEach
    void start() throws IOException {
        yard = new StandInLoop();
    }

    @AfterEach
    void stop() throws IOException {
        yard.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private FeedServer server(Machine machine) {
        return yard.make(() -> new FeedServer(yard, "s1", "home", machine));
    }

    private ShopClient client(int port) {
        String id = "i" + ++asked;
        return yard.on(() -> new ShopClient(yard, port, id, "k", "c=order-status,d=10000,g=g1", PATIENCE, told::add));
    }

    private Told next() throws InterruptedException {
        Told next = told.poll(20, TimeUnit.SECONDS);
        assertThat(next).as("something happens").isNotNull();
        return next;
    }

    @Test
    void turnsAwayOverItsCapAndKeepsItsBooks() throws Exception {
        FeedServer server = server(Machine.IDLE.holding(2, false));
        ShopClient first = client(server.port());
        assertThat(next().what()).isEqualTo(Happened.UP);
        client(server.port());
        assertThat(next().what()).isEqualTo(Happened.UP);
        client(server.port());
        assertThat(next().what()).isEqualTo(Happened.BUSY);
        yard.run(first::leave);
        assertThat(next().what()).isEqualTo(Happened.LEFT);
        FeedServer.Books books = yard.on(server::books);
        while (books.standing() > 1) {
            books = yard.on(server::books);
        }
        assertThat(books.setups()).isEqualTo(2);
        assertThat(books.turnedAway()).isEqualTo(1);
        assertThat(books.mostStanding()).isEqualTo(2);
        assertThat(yard.on(() -> server.standingSeconds("c"))).containsOnlyKeys("order-status");
    }

    @Test
    void shedsItsNewestOverItsCap() throws Exception {
        FeedServer server = server(Machine.IDLE.holding(1, true));
        ShopClient first = client(server.port());
        assertThat(next().what()).isEqualTo(Happened.UP);
        client(server.port());
        Told last = next();
        assertThat(last.what() == Happened.UP ? next().what() : last.what()).isIn(Happened.LOST, Happened.FAILED);
        assertThat(yard.on(first::standing)).isTrue();
        assertThat(yard.on(server::books).shed()).isEqualTo(1);
    }

    @Test
    void drainsSendsAwayDiesAndComesBack() throws Exception {
        FeedServer server = server(Machine.IDLE);
        client(server.port());
        assertThat(next().what()).isEqualTo(Happened.UP);
        yard.run(server::drain);
        client(server.port());
        assertThat(next().what()).isEqualTo(Happened.BUSY);
        yard.run(server::sendAway);
        assertThat(next().what()).isEqualTo(Happened.MOVED);
        yard.run(server::kill);
        client(server.port());
        assertThat(next().what()).isEqualTo(Happened.FAILED);
        assertThat(yard.on(server::restart)).isPositive();
        client(server.port());
        assertThat(next().what()).isEqualTo(Happened.UP);
    }

    @Test
    void aNeighbourMakesLinesSlow() throws Exception {
        FeedServer server = server(Machine.IDLE.working(1, 0, 2_000));
        ShopClient client = client(server.port());
        assertThat(next().what()).isEqualTo(Happened.UP);
        BlockingQueue<Long> took = new LinkedBlockingQueue<>();
        yard.run(() -> client.talk(1_000, took::add));
        assertThat(took.poll(20, TimeUnit.SECONDS)).isGreaterThanOrEqualTo(2_000);
        yard.run(() -> server.neighbour(0.99));
        long longest = 0;
        while (longest < 200_000) {
            longest = took.poll(20, TimeUnit.SECONDS);
        }
    }

    @Test
    void aLinkDelaysBothWaysAndKeepsTheOrder() throws Exception {
        FeedServer server = server(Machine.IDLE);
        ZoneLink link = yard.on(() -> {
            try {
                return new ZoneLink(yard, server.port(), 20_000, 10_000, 3);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        client(link.port());
        Told up = next();
        assertThat(up.what()).isEqualTo(Happened.UP);
        assertThat(up.after()).isGreaterThanOrEqualTo(40_000);
        BufferedReader in = open(link.port(), "OPEN a k c=x,d=9\r\n1\r\n2\r\n3\r\n");
        assertThat(in.readLine()).startsWith("UP");
        assertThat(List.of(in.readLine(), in.readLine(), in.readLine())).containsExactly("1", "2", "3");
    }

    private BufferedReader open(int port, String words) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        sockets.add(socket);
        socket.setSoTimeout(20_000);
        socket.getOutputStream().write(words.getBytes(StandardCharsets.US_ASCII));
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    }

    @Test
    void discoveryTellsTheListItsChangesAndItsOutages() throws Exception {
        FeedServer server = server(Machine.IDLE);
        Discovery discovery = yard.on(() -> {
            try {
                return new Discovery(yard);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        yard.run(() -> discovery.list(server, "box", 1, "ready"));
        BufferedReader in = open(discovery.port(), "GET /registry/instances?watch=1 HTTP/1.1\r\nHost: x\r\n\r\n");
        assertThat(in.readLine()).isEqualTo("HTTP/1.1 200 OK");
        assertThat(awaited(in, "\"all\"")).contains("\"all\":true").contains("\"state\":\"ready\"");
        yard.run(() -> discovery.list(server, "box", 1, "draining"));
        assertThat(awaited(in, "\"all\"")).contains("\"all\":false").contains("\"state\":\"draining\"");
        yard.run(() -> discovery.down(true));
        BufferedReader refused = open(discovery.port(), "GET /registry/instances HTTP/1.1\r\nHost: x\r\n\r\n");
        assertThat(refused.readLine()).isEqualTo("HTTP/1.1 503 Service Unavailable");
    }

    private static String awaited(BufferedReader in, String part) throws IOException {
        String line = in.readLine();
        while (!line.contains(part)) {
            line = in.readLine();
        }
        return line;
    }
}
