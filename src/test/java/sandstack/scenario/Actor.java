package sandstack.scenario;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** One end of a connection in a scenario: sends on command, and reports what it receives as events. */
abstract class Actor {
    final Socket socket;
    final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    /** At a feed server: the client key of the request. */
    volatile String key;
    /** The event of its end has been taken. */
    boolean ended;

    Actor(Socket socket) {
        this.socket = socket;
    }

    abstract void send(String what) throws IOException, InterruptedException;

    /** Reads until the connection ends; called on a thread of its own. */
    abstract void read() throws IOException;

    Actor start() {
        Thread reader = new Thread(() -> {
            try {
                read();
                events.add("end");
            } catch (IOException e) {
                events.add(e.getMessage() != null && e.getMessage().contains("reset") ? "reset" : "end");
            }
        });
        reader.setDaemon(true);
        reader.start();
        return this;
    }

    String next() throws InterruptedException {
        String event = events.poll(10, TimeUnit.SECONDS);
        ended = ended || "end".equals(event) || "reset".equals(event);
        return event == null ? "nothing for 10 s" : event;
    }

    void close() throws IOException {
        if (!socket.isClosed()) {
            try {
                socket.shutdownOutput();
            } catch (java.net.SocketException e) {
                // the other side has closed it concurrently
            }
        }
    }

    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }
}
