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
    private static final long MOST_MICROS = 10_000_000;
    private static final String WORD = "push ";
    private static final String PADDING = ".".repeat(LINE_BYTES);

    private final StandInLoop yard;
    private final List<Subscriber> subscribers = new ArrayList<>();
    private final Histogram delays = new Histogram(MOST_MICROS, 3);
    private int next;
    private long sent;
    private long perSecond;
    private long began;
    private long sentBefore;
    private boolean sending;

    DeliveryLoad(StandInLoop yard, ClientPool clients) {
        this.yard = yard;
        clients.onDelivery(this::arrived);
    }

    /** What has been sent and what of it has arrived, with the delays in microseconds. */
    record Result(long sent, long arrived, long median, long ninetyNinth) {}

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
    void start(List<FeedServer> servers, long linesPerSecond) {
        subscribers.clear();
        servers.forEach(server -> subscribers.addAll(server.subscribers()));
        perSecond = linesPerSecond;
        began = yard.now();
        sentBefore = sent;
        sending = true;
        tick();
    }

    void stop() {
        sending = false;
    }

    /** Forgets the delays and what has been sent. */
    void reset() {
        delays.reset();
        sent = 0;
        sentBefore = 0;
        began = yard.now();
    }

    Result result() {
        return new Result(
                sent, delays.getTotalCount(), delays.getValueAtPercentile(50), delays.getValueAtPercentile(99));
    }

    private void tick() {
        if (!sending) {
            return;
        }
        long due = sentBefore + (yard.now() - began) * perSecond / 1_000_000;
        while (sent < due) {
            subscribers.get(next++ % subscribers.size()).send(line());
            sent++;
        }
        yard.after(TICK_MICROS, this::tick);
    }

    private String line() {
        String stamped = WORD + yard.now() + " ";
        return stamped + PADDING.substring(stamped.length() + 1) + "\n";
    }

    private void arrived(String line) {
        if (line.startsWith(WORD)) {
            long at = Long.parseLong(line.substring(WORD.length(), line.indexOf(' ', WORD.length())));
            delays.recordValue(Math.min(MOST_MICROS, Math.max(0, yard.now() - at)));
        }
    }
}
