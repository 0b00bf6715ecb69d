package sandstack;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against clients that a planned restart cuts off without MOVE, or with a part of a line as a whole one, because
 * their feed server is in the middle of a line.
 */
@Timeout(60)
class ShutdownWithPartialLinesTest {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final int CLIENTS = 60;
    /** Between SIGTERM and SIGKILL the platform waits for the longest deadline, 3 s in the example, and 0.7 s more. */
    private static final long KILL_AFTER_MILLIS = 3_700;

    @TempDir
    Path folder;

    private final List<ServerSocket> servers = new ArrayList<>();
    private final Set<String> writtenLines = ConcurrentHashMap.newKeySet();
    private RelayLauncher launcher;

    @AfterEach
    void stop() throws IOException {
        launcher.stop();
        for (ServerSocket server : servers) {
            server.close();
        }
    }

    /** Starts a feed server each of whose writes ends in the middle of a line, and returns its port. */
    private int startFeedServer(long pauseMillis) throws IOException {
        ServerSocket server = new ServerSocket(0, CLIENTS, LOOPBACK);
        servers.add(server);
        startDaemon(() -> {
            while (true) {
                Socket connection = server.accept();
                startDaemon(() -> writeInParts(connection, pauseMillis));
            }
        });
        return server.getLocalPort();
    }

    private void writeInParts(Socket connection, long pauseMillis) throws IOException, InterruptedException {
        connection.setTcpNoDelay(true);
        BufferedReader in = reader(connection);
        String id = in.readLine().split(" ", 0)[1];
        OutputStream out = connection.getOutputStream();
        String nextEnd = "UP " + id + "\r\n";
        for (int number = 1000; ; number++) {
            String line = "stock " + id + " " + number;
            writtenLines.add(line);
            int cut = line.length() - 2;
            out.write((nextEnd + line.substring(0, cut)).getBytes(StandardCharsets.US_ASCII));
            nextEnd = line.substring(cut) + "\r\n";
            Thread.sleep(number == 1000 ? Math.floorMod(id.hashCode(), pauseMillis) : pauseMillis);
        }
    }

    /** A client that reads until the end of its connection. */
    private static final class ReadingClient {
        final Socket socket;
        final List<String> lines = new ArrayList<>();

        ReadingClient(int port, int number) throws IOException {
            socket = new Socket(LOOPBACK, port);
            String line = "OPEN id" + number + " key" + number + " c=order-status,d=3000,g=g" + number + "\r\n";
            socket.getOutputStream().write(line.getBytes(StandardCharsets.US_ASCII));
        }

        /** Reads all lines; the last one is without a line end if the relay cut it off. */
        void readToEnd() throws IOException {
            socket.setSoTimeout((int) KILL_AFTER_MILLIS);
            StringBuilder text = new StringBuilder();
            try {
                for (int c = socket.getInputStream().read();
                        c >= 0;
                        c = socket.getInputStream().read()) {
                    text.append((char) c);
                }
            } catch (IOException e) {
                text.append(e.getMessage());
            }
            lines.addAll(List.of(text.toString().split("(?<=\r\n)")));
        }
    }

    /** What a thread does with sockets until one is closed. */
    private interface SocketTask {
        void run() throws IOException, InterruptedException;
    }

    private static void startDaemon(SocketTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException | InterruptedException e) {
                // the other side has ended the connection, or the test has ended
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private static BufferedReader reader(Socket socket) throws IOException {
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    }

    private Path config(long pauseMillis) throws IOException {
        Path config = launcher.config("relay", RelayLauncher.freePort(), 1024);
        return Files.writeString(
                config,
                Files.readString(config)
                        .replace("127.0.0.1:3101", "127.0.0.1:" + startFeedServer(pauseMillis))
                        .replace("127.0.0.1:3102", "127.0.0.1:" + startFeedServer(pauseMillis)));
    }

    /** Starts a relay with feed servers that pause for this time between two parts of a line. */
    private Process startRelay(long pauseMillis) throws Exception {
        launcher = new RelayLauncher(folder);
        return launcher.start("", "relay", config(pauseMillis));
    }

    private List<ReadingClient> establishClients() throws Exception {
        int port = launcher.port("relay");
        List<ReadingClient> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            ReadingClient client = new ReadingClient(port, i);
            StringBuilder answer = new StringBuilder();
            while (answer.indexOf("\r\n") < 0) {
                answer.append((char) client.socket.getInputStream().read());
            }
            assertThat(answer).hasToString("UP id" + i + "\r\n");
            clients.add(client);
        }
        return clients;
    }

    private void assertWholeLinesAndMove(Process relay, List<ReadingClient> clients) throws Exception {
        relay.destroy();
        for (ReadingClient client : clients) {
            client.readToEnd();
        }
        assertThat(relay.waitFor(KILL_AFTER_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
        for (ReadingClient client : clients) {
            int last = client.lines.size() - 1;
            assertThat(client.lines.get(last)).isEqualTo("MOVE\r\n");
            assertThat(writtenLines)
                    .containsAll(client.lines.subList(0, last).stream()
                            .map(String::trim)
                            .toList());
        }
    }

    /** The pause between two parts: shorter and longer than the time in which the relay ends. */
    @ParameterizedTest
    @ValueSource(longs = {450, 900, 10_000})
    void eachClientGetsWholeLinesAndMove(long pauseMillis) throws Exception {
        Process relay = startRelay(pauseMillis);
        assertWholeLinesAndMove(relay, establishClients());
    }

    /** The request of such a client has ended, so that no migration is scheduled for it. */
    @Test
    void clientsThatHaveEndedTheirDirectionGetMoveToo() throws Exception {
        Process relay = startRelay(200);
        List<ReadingClient> clients = establishClients();
        for (ReadingClient client : clients) {
            client.socket.shutdownOutput();
        }
        assertWholeLinesAndMove(relay, clients);
    }
}
