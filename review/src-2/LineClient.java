import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A client of the line protocol: sends its request, then a line every 2 s, and records what comes back. */
final class LineClient {
    private final Kit kit;
    final String id;
    private final Socket socket;
    final List<String> received = new CopyOnWriteArrayList<>();
    volatile String end;
    volatile long endMillis;
    volatile boolean left;

    LineClient(Kit kit, int port, String id, String parameters) throws IOException {
        this.kit = kit;
        this.id = id;
        socket = new Socket(Kit.HOST, port);
        socket.setTcpNoDelay(true);
        String line = "OPEN " + id + " key-" + id + " " + parameters;
        kit.log("client " + id + ": sent " + line);
        write(line);
        Kit.go(this::read);
    }

    boolean isUp() {
        return !received.isEmpty() && received.get(0).startsWith("UP ");
    }

    boolean wasMoved() {
        return received.contains("MOVE");
    }

    private void read() {
        try {
            for (String line = FeedServer.readLine(socket.getInputStream());
                    line != null;
                    line = FeedServer.readLine(socket.getInputStream())) {
                received.add(line);
                if (received.size() == 1 || !line.startsWith("tick")) {
                    kit.log("client " + id + ": received " + line);
                }
                if (received.size() == 1 && isUp()) {
                    Kit.go(this::tick);
                }
            }
            finish("end of the connection");
        } catch (IOException e) {
            finish("connection broke (" + e.getMessage() + ")");
        }
    }

    private void finish(String how) {
        if (!left) {
            end = how;
            endMillis = kit.millis();
            kit.log("client " + id + ": " + how);
        }
        close();
    }

    private void tick() {
        for (int i = 0; end == null && !left; i++) {
            try {
                write("tick " + i);
            } catch (IOException e) {
                return;
            }
            Kit.sleep(2000);
        }
    }

    private synchronized void write(String line) throws IOException {
        socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.US_ASCII));
    }

    void close() {
        left = true;
        try {
            socket.close();
        } catch (IOException e) {
            // closed already
        }
    }
}
