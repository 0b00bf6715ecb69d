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
 * Listens for operators: each connection carries one call, a line, and gets one answer that begins with {@code ACK} or
 * {@code NAK}. Owns its callers, at most {@value #MOST} of them, whose descriptors no client draws on. Lives on the
 * loop's thread; an accepted caller, a call and an eviction cost O(1), {@code INFO} O(classes and feed servers).
 */
public final class OperatorDoor {
    /** Callers at one time; of more, the one that came first goes. */
    public static final int MOST = 24;

    private static final int LONGEST_LINE = 4096;
    /** Who calls has to have said it by then: long enough for a person at a keyboard. */
    private static final long ASK_WITHIN = 10_000_000;
    /** How long a caller that has been answered may keep its end open. */
    private static final long LINGER = 1_000_000;

    private final EventLoop loop;
    private final DeadlineScheduler deadlines;
    private final Supplier<String> hindrance;
    private final Supplier<List<String>> figures;
    private final Set<Caller> callers = new LinkedHashSet<>();

    /**
     * Creates a door that does not listen yet.
     *
     * @param hindrance why this process cannot serve; null once it can
     * @param figures the figures, a line each
     */
    public OperatorDoor(
            EventLoop loop, DeadlineScheduler deadlines, Supplier<String> hindrance, Supplier<List<String>> figures) {
        this.loop = loop;
        this.deadlines = deadlines;
        this.hindrance = hindrance;
        this.figures = figures;
    }

    /** Listens; returns the port. */
    public int listen(String host, int port) throws IOException {
        return loop.listen(host, port, loop.chain(new BaseFilter() {
                    @Override
                    public NextAction handleAccept(FilterChainContext context) {
                        entered(new Caller(EventLoop.peer(context)));
                        return context.getStopAction();
                    }
                }))
                .port();
    }

    private void entered(Caller caller) {
        callers.add(caller);
        if (callers.size() > MOST) {
            callers.iterator().next().over();
        }
    }

    private String answer(String line) {
        switch (line) {
            case "PING":
                String why = hindrance.get();
                return why == null ? "ACK\r\n" : "NAK " + why + "\r\n";
            case "INFO":
                return "ACK\r\n" + String.join("\r\n", figures.get()) + "\r\n--\r\n";
            default:
                return "NAK no such call; there are PING and INFO\r\n";
        }
    }

    /** One caller, from its connection to its end. */
    private final class Caller implements Peer.Listener {
        private final Peer peer;
        private DeadlineScheduler.Deadline until;
        private boolean answered;

        Caller(Peer peer) {
            this.peer = peer;
            peer.setListener(this);
            until = deadlines.schedule(loop.nowMicros() + ASK_WITHIN, () -> say("NAK no call came\r\n"));
        }

        @Override
        public void onBytesReceived(int count) {
            int end = peer.input().indexOf('\n');
            if (end >= LONGEST_LINE || end < 0 && peer.input().size() >= LONGEST_LINE) {
                say("NAK the line is longer than 4 KiB\r\n");
            } else if (end >= 0) {
                String line = peer.input().peekText(end);
                say(
                        peer.input().size() > end + 1
                                ? "NAK one call a connection\r\n"
                                : answer(line.endsWith("\r") ? line.substring(0, end - 1) : line));
            }
        }

        private void say(String words) {
            if (answered) {
                return;
            }
            answered = true;
            until.cancel();
            until = deadlines.schedule(loop.nowMicros() + LINGER, this::over);
            // what else comes is thrown away: closed with words unread, the kernel would send a reset after the answer
            peer.discardInput();
            peer.send(words);
            peer.shutdownOutput();
        }

        /** Whoever ended it, its descriptor is free again. */
        private void over() {
            until.cancel();
            callers.remove(this);
            peer.close();
        }

        @Override
        public void onEndOfInput() {
            if (!answered && !peer.input().isEmpty()) {
                say("NAK the call has no line end\r\n");
            }
            if (!answered || peer.isOutputEnded()) {
                over();
            }
        }

        @Override
        public void onFlushed() {
            if (answered && peer.isInputEnded() && peer.isOutputEnded()) {
                over();
            }
        }

        @Override
        public void onConnectionLost() {
            over();
        }
    }
}
