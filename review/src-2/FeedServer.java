import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/** A stand-in feed server of the line protocol: answers UP, and returns each line at once. */
final class FeedServer {
    /** One connection. */
    final class Connection {
        final Socket socket;
        volatile String id = "?";
        volatile boolean up;
        volatile boolean ended;

        Connection(Socket socket) {
            this.socket = socket;
        }

        void send(String line) {
            try {
                synchronized (this) {
                    socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.US_ASCII));
                }
            } catch (IOException e) {
                ended = true;
            }
        }

        void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // closed already
            }
        }
    }

    final String uid;
    private final Kit kit;
    private final ServerSocket server;
    final List<Connection> connections = new CopyOnWriteArrayList<>();
    /** Whether it turns new connections away, as a draining feed server does. */
    volatile boolean draining;
    /** Called with each request as it arrives. */
    volatile Consumer<String> onRequest = line -> {};

    FeedServer(Kit kit, String uid) throws IOException {
        this.kit = kit;
        this.uid = uid;
        this.server = Kit.listen();
        Kit.go(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                Kit.go(() -> serve(new Connection(socket)));
            }
        } catch (IOException e) {
            // the process has ended
        }
    }

    private void serve(Connection connection) {
        try {
            connection.socket.setTcpNoDelay(true);
            InputStream in = connection.socket.getInputStream();
            String request = readLine(in);
            if (request == null) {
                return;
            }
            kit.log(uid + ": received " + request);
            connection.id = request.split(" ")[1];
            onRequest.accept(request);
            if (draining) {
                kit.log(uid + ": answered BUSY to " + connection.id);
                connection.send("BUSY");
                connection.close();
                return;
            }
            connections.add(connection);
            connection.up = true;
            connection.send("UP " + uid + "-" + connection.id);
            kit.log(uid + ": answered UP to " + connection.id);
            for (String line = readLine(in); line != null; line = readLine(in)) {
                connection.send(line);
            }
            kit.log(uid + ": the relay ended " + connection.id);
        } catch (IOException e) {
            if (!connection.ended) {
                kit.log(uid + ": connection " + connection.id + " broke");
            }
        } finally {
            connection.ended = true;
            connections.remove(connection);
            connection.close();
        }
    }

    /** Begins to drain: sends the clients away that are up, and turns new ones away. */
    void drain() {
        kit.log(uid + ": drains");
        draining = true;
        for (Connection connection : connections) {
            if (connection.up) {
                kit.log(uid + ": sends MOVE to " + connection.id);
                connection.send("MOVE");
                connection.ended = true;
                connection.close();
            }
        }
    }

    static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') {
                int length = line.length();
                return length > 0 && line.charAt(length - 1) == '\r' ? line.substring(0, length - 1) : line.toString();
            }
            line.append((char) c);
        }
        return null;
    }
}
