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
    static final int MOST_UNSERVED = 32;

    private static final long PATIENCE_MICROS = 3_000_000;
    private static final int CLIENTS_IN_GROUP = 40;
    private static final String[] CLASSES = {"order-status", "order-status", "catalogue-feed", "stock-check"};

    private final StandInLoop yard;
    private final int port;
    private final Set<ShopClient> standing = new LinkedHashSet<>();
    private Consumer<String> onDelivery = line -> {};
    private int target;
    private int inFlight;
    private int unservedBefore;
    private long asked;
    private long served;
    private long refused;
    private long failed;
    private long lost;

    ClientPool(StandInLoop yard, int port) {
        this.yard = yard;
        this.port = port;
    }

    /**
     * What has happened until now.
     *
     * @param refused told so by the relay
     * @param failed without an answer, or with one that says nothing
     * @param lost ended by the other side while they stood
     */
    record Count(int standing, int inFlight, long asked, long served, long refused, long failed, long lost) {
        long unserved() {
            return refused + failed;
        }
    }

    Count count() {
        return new Count(standing.size(), inFlight, asked, served, refused, failed, lost);
    }

    /** Each line that a feed server sends to one of them is handed on. */
    void onDelivery(Consumer<String> listener) {
        onDelivery = listener;
    }

    /** Connects until so many stand, with at most so many set-ups in flight. */
    void growTo(int connections, int mostInFlight) {
        target = connections;
        unservedBefore = (int) (refused + failed);
        for (int i = inFlight; i < mostInFlight; i++) {
            next();
        }
    }

    /** Whether nothing is in flight: the target is reached, or too many have not come up. */
    boolean settled() {
        return inFlight == 0;
    }

    /** So many of the oldest end their connections by a reset. */
    void abort(int count) {
        standing.stream().limit(count).toList().forEach(ShopClient::abort);
    }

    private void next() {
        boolean gaveUp = refused + failed - unservedBefore >= MOST_UNSERVED;
        if (gaveUp || standing.size() + inFlight >= target) {
            return;
        }
        inFlight++;
        long number = ++asked;
        new ShopClient(
                yard,
                port,
                "i" + number,
                "k" + number,
                "c=" + CLASSES[(int) (number % CLASSES.length)] + ",d=" + PATIENCE_MICROS / 1000 + ",g=g"
                        + number / CLIENTS_IN_GROUP,
                PATIENCE_MICROS,
                this::told);
    }

    private void told(ShopClient.Told told) {
        ShopClient client = told.client();
        boolean stood = standing.remove(client);
        if (told.what() == Happened.UP) {
            served++;
            standing.add(client);
            client.onDelivery(onDelivery);
        } else if (told.what() == Happened.BUSY) {
            refused++;
        } else if (stood) {
            lost += told.what() == Happened.LEFT ? 0 : 1;
        } else {
            failed++;
        }
        if (!stood) {
            // not from within: a connection that fails at once would otherwise recurse
            yard.after(0, this::replace);
        }
    }

    /** Until here the one before counts as in flight, so that the pool never looks settled between two. */
    private void replace() {
        inFlight--;
        next();
    }
}
