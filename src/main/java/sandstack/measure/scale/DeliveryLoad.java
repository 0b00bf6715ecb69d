package sandstack.measure.scale;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import sandstack.standin.FeedServer;
import sandstack.standin.FeedServer.Subscriber;
import sandstack.standin.StandInLoop;

/**
 * Feed servers that send lines to all their clients in turn at a given rate, whatever comes back; each line carries the
 * time of its sending, and what it took to arrive is recorded. Lives on its loop's thread.
 */
final class DeliveryLoad {
    /** Bytes of one line with its line feed. */
    static final int LINE_BYTES = 100;

    private static final long TICK_MICROS = 1_000;
    private static final long MAX_RECORDED_MICROS = 10_000_000;
    private static final String LINE_PREFIX = "push ";
    private static final String PADDING = ".".repeat(LINE_BYTES);

    private final StandInLoop loop;
    private final List<Subscriber> subscribers = new ArrayList<>();
    private final Histogram delayMicros = new Histogram(MAX_RECORDED_MICROS, 3);
    private int nextSubscriber;
    private long sent;
    private long linesPerSecond;
    private long startMicros;
    private long sentAtStart;
    private boolean sending;

    DeliveryLoad(StandInLoop loop, ClientPool clients) {
        this.loop = loop;
        clients.onDelivery(this::onDelivery);
    }

    /** What has been sent and what of it has arrived, with the delays in microseconds. */
    record Result(long sent, long arrived, long medianMicros, long p99Micros) {}

    /** Sends one line to each connection that these servers have now. */
    void sendOneToEach(List<FeedServer> servers) {
        for (FeedServer server : servers) {
            for (Subscriber subscriber : server.subscribers()) {
                subscriber.send(line());
                sent++;
            }
        }
    }

    /** Sends so many lines a second to the connections that these servers have now, until {@link #stop}. */
    void start(List<FeedServer> servers, long rate) {
        subscribers.clear();
        servers.forEach(server -> subscribers.addAll(server.subscribers()));
        linesPerSecond = rate;
        startMicros = loop.now();
        sentAtStart = sent;
        sending = true;
        sendDue();
    }

    void stop() {
        sending = false;
    }

    /** Forgets the delays and what has been sent. */
    void reset() {
        delayMicros.reset();
        sent = 0;
        sentAtStart = 0;
        startMicros = loop.now();
    }

    Result result() {
        return new Result(
                sent,
                delayMicros.getTotalCount(),
                delayMicros.getValueAtPercentile(50),
                delayMicros.getValueAtPercentile(99));
    }

    private void sendDue() {
        if (!sending) {
            return;
        }
        long due = sentAtStart + (loop.now() - startMicros) * linesPerSecond / 1_000_000;
        while (sent < due) {
            subscribers.get(nextSubscriber++ % subscribers.size()).send(line());
            sent++;
        }
        loop.after(TICK_MICROS, this::sendDue);
    }

    private String line() {
        String stamped = LINE_PREFIX + loop.now() + " ";
        return stamped + PADDING.substring(stamped.length() + 1) + "\n";
    }

    private void onDelivery(String line) {
        if (line.startsWith(LINE_PREFIX)) {
            long sentAtMicros =
                    Long.parseLong(line.substring(LINE_PREFIX.length(), line.indexOf(' ', LINE_PREFIX.length())));
            delayMicros.recordValue(Math.min(MAX_RECORDED_MICROS, Math.max(0, loop.now() - sentAtMicros)));
        }
    }
}
