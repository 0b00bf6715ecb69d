package sandstack.scenario;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A client or feed server in a scenario: sends on command, and queues an event for each message that it receives. Each
 * actor has a thread that reads; all else runs on the test's thread.
 */
abstract class Actor {
    final Socket socket;
    final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    /** The client key of the request, if this is a feed server and has received one. */
    volatile String key;
    /** Whether {@link #next} has returned an event that ends the connection. */
    boolean ended;

    Actor(Socket socket) {
        this.socket = socket;
    }

    /** Sends a message, given as in a {@code send} line of a scenario. */
    abstract void send(String message) throws IOException, InterruptedException;

    /** Reads until the end of the connection and adds an event for each message; runs on the reader thread. */
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

    /** Waits up to 10 s for the next event and removes it. */
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
                // the remote side has closed the connection concurrently
            }
        }
    }

    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }
}
