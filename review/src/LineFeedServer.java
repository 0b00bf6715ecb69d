import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A sound feed server of the line protocol. It answers OPEN with UP, and each line of the client at once with a line. With
 * a pause it also pushes lines, and writes in pieces: each write ends in the middle of a line, and the rest of that line
 * follows with the next write, which comes after the pause or, if a line of the client comes before, at once. If the
 * client's side ends, it ends its own.
 */
final class LineFeedServer {
    private final Bench bench;
    final String name;
    private final long pauseMillis;
    private final ServerSocket listener;
    /** The complete lines written on each connection, by the id of its OPEN line. */
    final Map<String, Set<String>> linesById = new ConcurrentHashMap<>();

    private LineFeedServer(Bench bench, String name, long pauseMillis) throws IOException {
        this.bench = bench;
        this.name = name;
        this.pauseMillis = pauseMillis;
        listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    }

    /** Starts feed servers and adds them to the list of discovery; a pause of 0 stands for whole lines only. */
    static List<LineFeedServer> start(Bench bench, Discovery discovery, int count, long pauseMillis)
            throws IOException {
        List<LineFeedServer> servers = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            LineFeedServer server = new LineFeedServer(bench, "s-" + i, pauseMillis);
            server.start();
            discovery.add(server.name, server.port());
            servers.add(server);
        }
        return servers;
    }

    /** Whether the feed server of this connection has written this line on it. */
    static boolean wrote(List<LineFeedServer> servers, String id, String line) {
        return servers.stream().anyMatch(server -> server.linesById.getOrDefault(id, Set.of()).contains(line));
    }

    int port() {
        return listener.getLocalPort();
    }

    private void start() {
        Bench.daemon(name, () -> {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Bench.daemon(name + " connection", () -> new Connection(socket).serve());
            }
        });
    }

    private final class Connection {
        private final Socket socket;
        private String id;
        private Set<String> lines;
        private String rest = "";
        private int number;
        private boolean ended;

        Connection(Socket socket) {
            this.socket = socket;
        }

        void serve() throws IOException {
            LineReader in = new LineReader(socket.getInputStream());
            try {
                String open = in.readLine();
                if (open == null || !open.startsWith("OPEN ")) {
                    bench.note(name + " got a connection without OPEN: " + open);
                    return;
                }
                id = open.split(" ")[1];
                lines = ConcurrentHashMap.newKeySet();
                linesById.put(id, lines);
                write("UP " + name + "-" + id + "\r\n");
                bench.note(name + " got \"" + open + "\" and answered UP");
                if (pauseMillis > 0) {
                    Bench.daemon(name + " push", this::push);
                }
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                    next("answer to " + line);
                }
                bench.note(name + ": the relay has ended connection " + id);
            } catch (IOException e) {
                bench.note(name + ": the relay has reset connection " + id);
            } finally {
                synchronized (this) {
                    ended = true;
                    socket.close();
                }
            }
        }

        private void push() throws IOException {
            // each connection at its own time
            Bench.sleep(Math.floorMod(id.hashCode(), pauseMillis));
            while (next(null)) {
                Bench.sleep(pauseMillis);
            }
        }

        /** Completes the line that has begun, writes the answer if there is one, and begins the next line. */
        private synchronized boolean next(String answer) throws IOException {
            if (ended) {
                return false;
            }
            StringBuilder text = new StringBuilder(rest);
            if (answer != null) {
                lines.add(answer);
                text.append(answer).append("\r\n");
            }
            if (pauseMillis > 0) {
                text.append(beginLine());
            }
            write(text.toString());
            return true;
        }

        /** Begins a line: returns its first part, and keeps the rest for the next write. */
        private String beginLine() {
            String line = "stock of felt slippers " + (12000 + ++number);
            lines.add(line);
            // the number is cut: a reader that took the first part for a line would read 12 instead of 12001
            int cut = line.length() - 3;
            rest = line.substring(cut) + "\r\n";
            return line.substring(0, cut);
        }

        private void write(String text) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(text.getBytes(StandardCharsets.US_ASCII));
            out.flush();
        }
    }
}
