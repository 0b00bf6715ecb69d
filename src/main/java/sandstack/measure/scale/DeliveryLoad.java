package sandstack.measure.scale;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import sandstack.testserver.FakeFeedServer;
import sandstack.testserver.FakeFeedServer.Subscriber;
import sandstack.testserver.TestServerLoop;

/**
 * Open-loop load generator for deliveries: feed servers send lines at a fixed rate to their clients in round-robin
 * order. Each line carries its send time, from which its delay is recorded on arrival. All methods run on the event
 * loop thread.
 */
final class DeliveryLoad {
    /** Length of a line including its line feed, in bytes. */
    static final int LINE_BYTES = 100;

    private static final long TICK_MICROS = 1_000;
    private static final long MAX_RECORDED_MICROS = 10_000_000;
    private static final String LINE_PREFIX = "push ";
    private static final String PADDING = ".".repeat(LINE_BYTES);

    private final TestServerLoop loop;
    private final List<Subscriber> subscribers = new ArrayList<>();
    private final Histogram delayMicros = new Histogram(MAX_RECORDED_MICROS, 3);
    private int nextSubscriber;
    private long sent;
    private long linesPerSecond;
    private long startMicros;
    private long sentAtStart;
    private boolean sending;

    DeliveryLoad(TestServerLoop loop, ClientPool clients) {
        this.loop = loop;
        clients.onDelivery(this::onDelivery);
    }

    /** Number of lines sent and arrived, and percentiles of the delays of those that arrived. */
    record Result(long sent, long arrived, long medianMicros, long p99Micros) {}

    /** Sends one line to each current connection of these servers. */
    void sendOneToEach(List<FakeFeedServer> servers) {
        for (FakeFeedServer server : servers) {
            for (Subscriber subscriber : server.subscribers()) {
                subscriber.send(line());
                sent++;
            }
        }
    }

    /** Sends {@code rate} lines per second to the current connections of these servers, until {@link #stop}. */
    void start(List<FakeFeedServer> servers, long rate) {
        subscribers.clear();
        servers.forEach(server -> subscribers.addAll(server.subscribers()));
        linesPerSecond = rate;
        startMicros = loop.nowMicros();
        sentAtStart = sent;
        sending = true;
        sendDue();
    }

    void stop() {
        sending = false;
    }

    /** Resets the counters and delays. */
    void reset() {
        delayMicros.reset();
        sent = 0;
        sentAtStart = 0;
        startMicros = loop.nowMicros();
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
        long due = sentAtStart + (loop.nowMicros() - startMicros) * linesPerSecond / 1_000_000;
        while (sent < due) {
            subscribers.get(nextSubscriber++ % subscribers.size()).send(line());
            sent++;
        }
        loop.schedule(TICK_MICROS, this::sendDue);
    }

    private String line() {
        String stamped = LINE_PREFIX + loop.nowMicros() + " ";
        return stamped + PADDING.substring(stamped.length() + 1) + "\n";
    }

    private void onDelivery(String line) {
        if (line.startsWith(LINE_PREFIX)) {
            long sentAtMicros =
                    Long.parseLong(line.substring(LINE_PREFIX.length(), line.indexOf(' ', LINE_PREFIX.length())));
            delayMicros.recordValue(Math.min(MAX_RECORDED_MICROS, Math.max(0, loop.nowMicros() - sentAtMicros)));
        }
    }
}
