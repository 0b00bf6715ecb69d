import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/** A client of the line protocol: one connection, a line every 2 s, and all that came back. */
final class LineClient {
    private final Bench bench;
    final String id;
    private final String key;
    private final Socket socket = new Socket();
    /** The lines after UP, in the order in which they came. */
    final List<String> lines = new ArrayList<>();

    final CountDownLatch answered = new CountDownLatch(1);
    final CountDownLatch ended = new CountDownLatch(1);
    volatile String answer = "";
    /** How the connection ended: "end" or "reset"; empty while it is open. */
    volatile String end = "";
    /** Bytes after the last complete line. */
    volatile String partial = "";

    LineClient(Bench bench, String id, String key) {
        this.bench = bench;
        this.id = id;
        this.key = key;
    }

    void start(int port, String parameters) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", port), 3000);
        String open = "OPEN " + id + " " + key + " " + parameters;
        socket.getOutputStream().write((open + "\r\n").getBytes(StandardCharsets.US_ASCII));
        bench.note("client " + id + " sent \"" + open + "\"");
        Bench.daemon("client " + id, this::read);
    }

    private void read() {
        LineReader in = null;
        try {
            in = new LineReader(socket.getInputStream());
            String first = in.readLine();
            answer = first == null ? "" : first;
            answered.countDown();
            if (answer.startsWith("UP")) {
                Bench.daemon("client " + id + " lines", this::write);
            }
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                synchronized (lines) {
                    lines.add(line);
                }
            }
            end = "end";
        } catch (IOException e) {
            end = "reset";
        }
        partial = in == null ? "" : in.partial();
        answered.countDown();
        ended.countDown();
        bench.note("client " + id + ": connection over (" + end + "), last line \"" + lastLine() + "\", rest \""
                + partial + "\"");
        try {
            socket.close();
        } catch (IOException e) {
            // it is closed
        }
    }

    private void write() throws IOException {
        // not all clients at the same time
        Bench.sleep(Math.floorMod(id.hashCode() * 31L, 2000));
        for (int number = 1; end.isEmpty() && !lastLine().equals("MOVE"); number++) {
            socket.getOutputStream().write(("status? " + number + "\r\n").getBytes(StandardCharsets.US_ASCII));
            Bench.sleep(2000);
        }
    }

    String lastLine() {
        synchronized (lines) {
            return lines.isEmpty() ? "" : lines.get(lines.size() - 1);
        }
    }

    List<String> received() {
        synchronized (lines) {
            return new ArrayList<>(lines);
        }
    }
}
