package sandstack.measure.scale;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;
import sandstack.testserver.LineClient;
import sandstack.testserver.LineClient.EventType;
import sandstack.testserver.TestServerLoop;

/**
 * Closed-loop load: clients that connect to one relay and stay, with a bounded number of setups in flight. Gives up
 * after too many unserved attempts. All methods run on the thread of the event loop.
 */
final class ClientPool {
    /** After this many rejected or failed attempts the relay counts as full. */
    static final int MAX_UNSERVED = 32;

    private static final long DEADLINE_MICROS = 3_000_000;
    private static final int CLIENTS_PER_GROUP = 40;
    private static final String[] REQUEST_CLASSES = {"order-status", "order-status", "catalogue-feed", "stock-check"};

    private final TestServerLoop loop;
    private final int port;
    private final Set<LineClient> established = new LinkedHashSet<>();
    private Consumer<String> onDelivery = line -> {};
    private int target;
    private int inFlight;
    private int unservedBefore;
    private long attempts;
    private long accepted;
    private long rejected;
    private long failed;
    private long lost;

    ClientPool(TestServerLoop loop, int port) {
        this.loop = loop;
        this.port = port;
    }

    /**
     * Counters since the start of the pool.
     *
     * @param established connections that are open now
     * @param inFlight setups without an answer
     * @param rejected attempts that the relay rejected
     * @param failed attempts without an answer, or with an invalid one
     * @param lost established connections that the other side closed
     */
    record Counts(int established, int inFlight, long attempts, long accepted, long rejected, long failed, long lost) {
        long unserved() {
            return rejected + failed;
        }
    }

    Counts counts() {
        return new Counts(established.size(), inFlight, attempts, accepted, rejected, failed, lost);
    }

    /** Sets the listener for lines that feed servers send to established clients. */
    void onDelivery(Consumer<String> listener) {
        onDelivery = listener;
    }

    /** Connects clients until this many are established, with at most this many setups in flight. */
    void growTo(int connections, int maxInFlight) {
        target = connections;
        unservedBefore = (int) (rejected + failed);
        for (int i = inFlight; i < maxInFlight; i++) {
            connectNext();
        }
    }

    /** Whether no setup is in flight: the target is reached, or the pool gave up. */
    boolean isSettled() {
        return inFlight == 0;
    }

    /** Resets this many of the oldest connections. */
    void resetOldest(int count) {
        established.stream().limit(count).toList().forEach(LineClient::abort);
    }

    private void connectNext() {
        boolean givenUp = rejected + failed - unservedBefore >= MAX_UNSERVED;
        if (givenUp || established.size() + inFlight >= target) {
            return;
        }
        inFlight++;
        long number = ++attempts;
        new LineClient(
                loop,
                port,
                "i" + number,
                "k" + number,
                "c=" + REQUEST_CLASSES[(int) (number % REQUEST_CLASSES.length)] + ",d=" + DEADLINE_MICROS / 1000
                        + ",g=g" + number / CLIENTS_PER_GROUP,
                DEADLINE_MICROS,
                this::onClientEvent);
    }

    private void onClientEvent(LineClient.ClientEvent event) {
        LineClient client = event.client();
        boolean wasEstablished = established.remove(client);
        if (event.type() == EventType.ESTABLISHED) {
            accepted++;
            established.add(client);
            client.onDelivery(onDelivery);
        } else if (event.type() == EventType.REJECTED) {
            rejected++;
        } else if (wasEstablished) {
            lost += event.type() == EventType.CLOSED ? 0 : 1;
        } else {
            failed++;
        }
        if (!wasEstablished) {
            // deferred, as a connection that fails at once would recurse
            loop.schedule(0, this::onAttemptEnded);
        }
    }

    /** Counts the attempt as in flight until here, so that the pool never seems settled between two attempts. */
    private void onAttemptEnded() {
        inFlight--;
        connectNext();
    }
}
