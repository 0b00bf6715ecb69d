package sandstack.measure.scale;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;
import sandstack.standin.ShopClient;
import sandstack.standin.ShopClient.Happened;
import sandstack.standin.StandInLoop;

/**
 * Clients that connect to one relay and stay: a closed loop with a bounded number of set-ups in flight. Stops by itself
 * once too many have not come up. Lives on its loop's thread.
 */
final class ClientPool {
    /** More that fail are no accident: the relay takes no more. */
    static final int MAX_UNSERVED = 32;

    private static final long DEADLINE_MICROS = 3_000_000;
    private static final int CLIENTS_PER_GROUP = 40;
    private static final String[] REQUEST_CLASSES = {"order-status", "order-status", "catalogue-feed", "stock-check"};

    private final StandInLoop loop;
    private final int port;
    private final Set<ShopClient> established = new LinkedHashSet<>();
    private Consumer<String> onDelivery = line -> {};
    private int target;
    private int inFlight;
    private int unservedBefore;
    private long attempts;
    private long accepted;
    private long rejected;
    private long failed;
    private long lost;

    ClientPool(StandInLoop loop, int port) {
        this.loop = loop;
        this.port = port;
    }

    /**
     * What has happened until now.
     *
     * @param rejected told so by the relay
     * @param failed without an answer, or with one that says nothing
     * @param lost ended by the other side while they stood
     */
    record Counts(int established, int inFlight, long attempts, long accepted, long rejected, long failed, long lost) {
        long unserved() {
            return rejected + failed;
        }
    }

    Counts counts() {
        return new Counts(established.size(), inFlight, attempts, accepted, rejected, failed, lost);
    }

    /** Each line that a feed server sends to one of them is handed on. */
    void onDelivery(Consumer<String> listener) {
        onDelivery = listener;
    }

    /** Connects until so many stand, with at most so many set-ups in flight. */
    void growTo(int connections, int maxInFlight) {
        target = connections;
        unservedBefore = (int) (rejected + failed);
        for (int i = inFlight; i < maxInFlight; i++) {
            connectNext();
        }
    }

    /** Whether nothing is in flight: the target is reached, or too many have not come up. */
    boolean isSettled() {
        return inFlight == 0;
    }

    /** So many of the oldest end their connections by a reset. */
    void resetOldest(int count) {
        established.stream().limit(count).toList().forEach(ShopClient::abort);
    }

    private void connectNext() {
        boolean givenUp = rejected + failed - unservedBefore >= MAX_UNSERVED;
        if (givenUp || established.size() + inFlight >= target) {
            return;
        }
        inFlight++;
        long number = ++attempts;
        new ShopClient(
                loop,
                port,
                "i" + number,
                "k" + number,
                "c=" + REQUEST_CLASSES[(int) (number % REQUEST_CLASSES.length)] + ",d=" + DEADLINE_MICROS / 1000
                        + ",g=g" + number / CLIENTS_PER_GROUP,
                DEADLINE_MICROS,
                this::onClientEvent);
    }

    private void onClientEvent(ShopClient.Told event) {
        ShopClient client = event.client();
        boolean wasEstablished = established.remove(client);
        if (event.what() == Happened.UP) {
            accepted++;
            established.add(client);
            client.onDelivery(onDelivery);
        } else if (event.what() == Happened.BUSY) {
            rejected++;
        } else if (wasEstablished) {
            lost += event.what() == Happened.LEFT ? 0 : 1;
        } else {
            failed++;
        }
        if (!wasEstablished) {
            // not from within: a connection that fails at once would otherwise recurse
            loop.after(0, this::onAttemptEnded);
        }
    }

    /** Until here the one before counts as in flight, so that the pool never looks settled between two. */
    private void onAttemptEnded() {
        inFlight--;
        connectNext();
    }
}
