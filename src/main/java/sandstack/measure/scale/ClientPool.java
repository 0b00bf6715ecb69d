package sandstack.measure.scale;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;
import sandstack.testserver.LineClient;
import sandstack.testserver.LineClient.EventType;
import sandstack.testserver.TestServerLoop;

/**
 * Closed-loop load generator: keeps a bounded number of connection setups to one relay in flight until a target number
 * of connections is established. Established connections stay open. Gives up after {@link #MAX_UNSERVED} rejected or
 * failed attempts. All methods run on the event loop thread.
 */
final class ClientPool {
    /** Number of rejected and failed attempts in one {@link #growTo} after which the relay is considered full. */
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
    private int unservedAtGrowth;
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
     * Counters since the pool was created.
     *
     * @param established connections that are open now
     * @param inFlight setups without a response so far
     * @param attempts started setups
     * @param accepted setups that the relay completed
     * @param rejected attempts that the relay rejected
     * @param failed attempts without a response, or with an invalid one
     * @param lost established connections that the relay closed, reset or asked to migrate
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

    /**
     * Connects clients until {@code connections} are established, with at most {@code maxInFlight} setups in flight.
     */
    void growTo(int connections, int maxInFlight) {
        target = connections;
        unservedAtGrowth = (int) (rejected + failed);
        for (int i = inFlight; i < maxInFlight; i++) {
            connectNext();
        }
    }

    /** Whether no setup is in flight, because the target is reached or the pool gave up. */
    boolean isSettled() {
        return inFlight == 0;
    }

    /** Resets the {@code count} connections that were established first. */
    void resetOldest(int count) {
        established.stream().limit(count).toList().forEach(LineClient::abort);
    }

    private void connectNext() {
        boolean hasGivenUp = rejected + failed - unservedAtGrowth >= MAX_UNSERVED;
        if (hasGivenUp || established.size() + inFlight >= target) {
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
            // deferred, because a connection that fails immediately would recurse
            loop.schedule(0, this::onAttemptEnded);
        }
    }

    /**
     * Ends an attempt and starts the next one. The attempt counts as in flight until then, so that the pool is not
     * settled between the two.
     */
    private void onAttemptEnded() {
        inFlight--;
        connectNext();
    }
}
