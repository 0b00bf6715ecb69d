package sandstack.front.operators;

import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import sandstack.core.DeadlineScheduler;
import sandstack.net.EventLoop;
import sandstack.net.Peer;

/**
 * The front of the operators' port: each connection carries one command, a line, and receives one answer that begins
 * with {@code ACK} or {@code NAK}. Holds at most {@value #MAX_CONNECTIONS} connections, which do not count towards the
 * admission of clients. Runs on the event loop's thread; an accept, a command and an eviction cost O(1), {@code INFO}
 * costs O(classes and feed servers).
 */
public final class OperatorFront {
    /** Maximum number of simultaneous connections; when one more is accepted, the oldest is closed. */
    public static final int MAX_CONNECTIONS = 24;

    private static final int MAX_LINE_BYTES = 4096;
    /** Timeout for the command; long enough to type it. */
    private static final long REQUEST_TIMEOUT_MICROS = 10_000_000;
    /** Time after the answer at which the socket is closed even if the operator has not closed the connection. */
    private static final long LINGER_MICROS = 1_000_000;

    private final EventLoop loop;
    private final DeadlineScheduler deadlines;
    private final Supplier<String> notReadyReason;
    private final Supplier<List<String>> metricLines;
    private final Set<OperatorConnection> connections = new LinkedHashSet<>();

    /**
     * Creates a front that does not listen yet.
     *
     * @param notReadyReason supplies the reason why this process cannot serve clients; null once it can
     * @param metricLines supplies the metrics, one per line
     */
    public OperatorFront(
            EventLoop loop,
            DeadlineScheduler deadlines,
            Supplier<String> notReadyReason,
            Supplier<List<String>> metricLines) {
        this.loop = loop;
        this.deadlines = deadlines;
        this.notReadyReason = notReadyReason;
        this.metricLines = metricLines;
    }

    /** Starts accepting operators at this address; returns the port, which the kernel chooses if {@code port} is 0. */
    public int listen(String host, int port) throws IOException {
        return loop.listen(host, port, loop.chain(new BaseFilter() {
                    @Override
                    public NextAction handleAccept(FilterChainContext context) {
                        onAccepted(new OperatorConnection(EventLoop.peer(context)));
                        return context.getStopAction();
                    }
                }))
                .port();
    }

    private void onAccepted(OperatorConnection connection) {
        connections.add(connection);
        if (connections.size() > MAX_CONNECTIONS) {
            connections.iterator().next().close();
        }
    }

    private String answer(String command) {
        switch (command) {
            case "PING":
                String reason = notReadyReason.get();
                return reason == null ? "ACK\r\n" : "NAK " + reason + "\r\n";
            case "INFO":
                return "ACK\r\n" + String.join("\r\n", metricLines.get()) + "\r\n--\r\n";
            default:
                return "NAK no such call; there are PING and INFO\r\n";
        }
    }

    /** One connection of an operator: reads one command, sends its answer and closes. */
    private final class OperatorConnection implements Peer.Listener {
        private final Peer peer;
        private DeadlineScheduler.Deadline timeout;
        private boolean answered;

        OperatorConnection(Peer peer) {
            this.peer = peer;
            peer.setListener(this);
            timeout = deadlines.schedule(
                    loop.nowMicros() + REQUEST_TIMEOUT_MICROS, () -> sendAnswer("NAK no call came\r\n"));
        }

        @Override
        public void onBytesReceived(int count) {
            int end = peer.input().indexOf('\n');
            if (end >= MAX_LINE_BYTES || (end < 0 && peer.input().size() >= MAX_LINE_BYTES)) {
                sendAnswer("NAK the line is longer than 4 KiB\r\n");
            } else if (end >= 0) {
                onLine(end);
            }
        }

        private void onLine(int end) {
            if (peer.input().size() > end + 1) {
                sendAnswer("NAK one call a connection\r\n");
                return;
            }
            String line = peer.input().peekText(end);
            sendAnswer(answer(line.endsWith("\r") ? line.substring(0, end - 1) : line));
        }

        private void sendAnswer(String answer) {
            if (answered) {
                return;
            }
            answered = true;
            timeout.cancel();
            timeout = deadlines.schedule(loop.nowMicros() + LINGER_MICROS, this::close);
            // closing a socket with unread input makes the kernel send a RST, which can overtake the answer
            peer.discardInput();
            peer.send(answer);
            peer.shutdownOutput();
        }

        /** Closes the socket if it is still open, and removes it from the open connections. */
        private void close() {
            timeout.cancel();
            connections.remove(this);
            peer.close();
        }

        @Override
        public void onEndOfInput() {
            if (!answered && !peer.input().isEmpty()) {
                sendAnswer("NAK the call has no line end\r\n");
            }
            if (!answered || peer.isOutputEnded()) {
                close();
            }
        }

        @Override
        public void onFlushed() {
            if (answered && peer.isInputEnded() && peer.isOutputEnded()) {
                close();
            }
        }

        @Override
        public void onConnectionLost() {
            close();
        }
    }
}
