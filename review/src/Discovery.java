import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A stand-in for discovery, after the section "Discovery" of PROTOCOL: whole lists and watches. */
final class Discovery {
    private final Bench bench;
    private final ServerSocket listener;
    private final Map<String, String> targets = new LinkedHashMap<>();
    private final List<Socket> watches = new ArrayList<>();
    private int version = 1;

    Discovery(Bench bench) throws IOException {
        this.bench = bench;
        listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    }

    int port() {
        return listener.getLocalPort();
    }

    synchronized void add(String uid, int port) {
        targets.put(uid, target(uid, port, "ready"));
    }

    private static String target(String uid, int port, String state) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + port
                + "\",\"az\":\"ulaanbaatar\",\"model\":\"new-box\",\"pod_group\":0,\"state\":\"" + state
                + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }

    synchronized String wholeList() {
        return "{\"rev\":" + version + ",\"all\":true,\"targets\":[" + String.join(",", targets.values()) + "]}";
    }

    void start() {
        Bench.daemon("discovery", () -> {
            while (true) {
                Socket socket = listener.accept();
                Bench.daemon("discovery call", () -> serve(socket));
            }
        });
    }

    private void serve(Socket socket) throws IOException {
        BufferedReader in =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        String request = in.readLine();
        for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
            // headers are not needed
        }
        if (request == null) {
            return;
        }
        OutputStream out = socket.getOutputStream();
        if (!request.contains("watch=1")) {
            String list = wholeList() + "\n";
            out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + list.length()
                            + "\r\n\r\n" + list)
                    .getBytes(StandardCharsets.US_ASCII));
            return;
        }
        synchronized (this) {
            out.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
                    .getBytes(StandardCharsets.US_ASCII));
            writeChunk(socket, wholeList() + "\n");
            watches.add(socket);
        }
        bench.note("discovery has written the whole list on a watch");
        while (true) {
            Bench.sleep(2000);
            synchronized (this) {
                writeChunk(socket, "\n");
            }
        }
    }

    private static void writeChunk(Socket socket, String text) throws IOException {
        socket.getOutputStream()
                .write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
    }

    /** Tells all watches the new state of a feed server. */
    synchronized void change(String uid, int port, String state) {
        version++;
        String target = target(uid, port, state);
        targets.put(uid, target);
        for (Socket watch : watches) {
            try {
                writeChunk(watch, "{\"rev\":" + version + ",\"all\":false,\"targets\":[" + target + "]}\n");
            } catch (IOException e) {
                // that watch has ended
            }
        }
        bench.note("discovery has told: " + uid + " is " + state);
    }
}
