import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntPredicate;

/** A stand-in discovery: the whole list, and watches that send each change at once and an empty line every 2 s. */
final class Discovery {
    /** One feed server of the list. */
    record Entry(String uid, int port, String state, long bootMillis) {
        String json() {
            return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + Kit.HOST + ":" + port
                    + "\",\"az\":\"ulaanbaatar\",\"model\":\"new-box\",\"pod_group\":0,\"state\":\"" + state
                    + "\",\"capacity_hint\":1.0,\"boot_ms\":" + bootMillis + "}";
        }
    }

    private final Kit kit;
    private final ServerSocket server;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private long rev = 41;
    private int calls;
    /** Decides by the number of a call, from 1, whether it has waited too long and ends with 503. */
    private volatile IntPredicate fails = call -> false;

    private volatile long failAfterMillis;

    Discovery(Kit kit) throws IOException {
        this.kit = kit;
        this.server = Kit.listen();
        Kit.go(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    synchronized int calls() {
        return calls;
    }

    /** Lets these calls wait for some time and end with 503. */
    void failCalls(IntPredicate predicate, long waitMillis) {
        failAfterMillis = waitMillis;
        fails = predicate;
    }

    synchronized void put(String uid, int port, String state) {
        entries.put(uid, new Entry(uid, port, state, 0));
    }

    /** The complete list as one JSON object. */
    synchronized String list() {
        return object(true, new ArrayList<>(entries.values()));
    }

    private String object(boolean all, List<Entry> listed) {
        StringBuilder text = new StringBuilder("{\"rev\":" + rev + ",\"all\":" + all + ",\"targets\":[");
        for (int i = 0; i < listed.size(); i++) {
            text.append(i == 0 ? "" : ",").append(listed.get(i).json());
        }
        return text.append("]}").toString();
    }

    /** Changes one feed server, and tells it to all open watches. */
    synchronized void change(String uid, String state) {
        Entry old = entries.get(uid);
        Entry changed = new Entry(uid, old.port(), state, old.bootMillis());
        if (state.equals("gone")) {
            entries.remove(uid);
        } else {
            entries.put(uid, changed);
        }
        rev++;
        String line = object(false, List.of(changed));
        for (Watch watch : List.copyOf(watches)) {
            watch.send(line + "\n");
            kit.log("discovery: told on the watch of call " + watch.call + ": " + uid + " is " + state);
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                Kit.go(() -> serve(socket));
            }
        } catch (IOException e) {
            // the case has ended
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            String request = in.readLine();
            for (String header = in.readLine(); header != null && !header.isEmpty(); header = in.readLine()) {
                // the headers do not matter
            }
            if (request == null) {
                return;
            }
            int call;
            synchronized (this) {
                call = ++calls;
            }
            if (fails.test(call)) {
                Kit.sleep(failAfterMillis);
                kit.log("discovery: call " + call + " ends with 503: " + request);
                socket.getOutputStream()
                        .write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII));
                return;
            }
            kit.log("discovery: call " + call + " answered: " + request);
            if (!request.contains("watch=1")) {
                byte[] body = list().getBytes(StandardCharsets.UTF_8);
                OutputStream out = socket.getOutputStream();
                out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length
                                + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                out.write(body);
                return;
            }
            Watch watch = new Watch(call, socket);
            synchronized (this) {
                watch.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
                watch.send(list() + "\n");
                watches.add(watch);
            }
            Kit.go(() -> {
                while (!watch.ended) {
                    Kit.sleep(2000);
                    watch.send("\n");
                }
            });
            while (in.read() >= 0) {
                // a client sends nothing more
            }
            synchronized (this) {
                watches.remove(watch);
            }
            watch.ended = true;
        } catch (IOException e) {
            // the relay has ended the connection
        }
    }

    /** One open watch. */
    private static final class Watch {
        private final int call;
        private final Socket socket;
        private volatile boolean ended;

        Watch(int call, Socket socket) {
            this.call = call;
            this.socket = socket;
        }

        synchronized void send(String text) {
            write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }

        synchronized void write(String text) {
            try {
                socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            } catch (IOException e) {
                ended = true;
            }
        }
    }
}
