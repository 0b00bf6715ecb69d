package sandstack.core;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntSupplier;
import java.util.logging.Logger;

/**
 * Takes a relay out of service: moves its standing clients away over a span of time, answers what is left before the
 * platform kills the process, and calls back once nobody is there any more. Used by the relay's one thread only.
 */
final class GracefulShutdown {
    /** The front goes on sending clients for a moment: moves begin after it. */
    private static final long MOVES_BEGIN = 500_000;
    /** The platform waits for the longest deadline before it kills, but not for more of it than this. */
    private static final long LONGEST = 3_000_000;
    /**
     * Moves are drawn over this span, so that clients do not come back as a crowd. It ends as late as the platform
     * allows: where relays are restarted one after another, those that go early come to one that is next, or to none.
     */
    private static final long SPAN = 1_200_000;
    /** What is left is answered so long after the last move. */
    private static final long LEFT = 200_000;
    /** Who asks a relay that has drained already is spread over so many milliseconds. */
    private static final long LATE_COME_AGAIN_MILLIS = 500;

    private static final Logger LOG = Logger.getLogger("sandstack.relay");

    private final Relay relay;
    private final SplittableRandom random;
    private boolean begun;
    private long start;
    /** When the last client is moved: the platform kills by the settings of the moment at which it said stop. */
    private long lastMove;

    private IntSupplier unheardPeers = () -> 0;
    /** Called once nobody is there any more; null before draining and after that call. */
    private Runnable whenDrained;

    GracefulShutdown(Relay relay, SplittableRandom random) {
        this.relay = relay;
        this.random = random;
    }

    boolean begun() {
        return begun;
    }

    /** Whether the process ends in a moment: what was sent on now would be lost with it. */
    boolean finished() {
        return begun && whenDrained == null;
    }

    /** A refusal for who comes once draining has finished. */
    Rejection refusalOfLateCommand() {
        return new Rejection(Rejection.Kind.REJECTED, random.nextLong(LATE_COME_AGAIN_MILLIS) + 1);
    }

    /** Begins; a second call changes nothing. */
    void begin(IntSupplier unheard, Runnable drained) {
        if (begun) {
            return;
        }
        begun = true;
        unheardPeers = unheard;
        LOG.info("draining: " + relay.clients().size() + " clients to move or answer");
        whenDrained = drained;
        start = relay.now();
        lastMove = start + Math.max(MOVES_BEGIN + LEFT, Math.min(relay.longestDeadline(), LONGEST));
        relay.clients().forEach(this::move);
        // a relay without clients that stopped at once would lose those who are still being sent to it
        relay.deadlines().schedule(start + MOVES_BEGIN, () -> {});
        relay.deadlines().schedule(lastMove + LEFT, this::endTheRest);
    }

    /** Moves a client at a moment drawn over the span; one that comes later is moved as well. */
    void move(ClientSession client) {
        long earliest = Math.max(relay.now(), Math.max(start + MOVES_BEGIN, lastMove - SPAN));
        long latest = Math.max(earliest + 1, lastMove);
        relay.deadlines().schedule(random.nextLong(earliest, latest), () -> {
            if (client.attempt != null) {
                client.attempt.migrate(ConnectionOutcome.MIGRATED);
            }
        });
    }

    /** Calls back where nobody is there any more, once. */
    void turn(long now) {
        if (whenDrained == null) {
            return;
        }
        boolean heardOut = unheardPeers.getAsInt() == 0 || now >= lastMove + LEFT;
        if (relay.clients().isEmpty() && now >= start + MOVES_BEGIN && heardOut) {
            Runnable callback = whenDrained;
            whenDrained = null;
            callback.run();
        }
    }

    /** Whoever is still there has to be told before the process is killed. */
    private void endTheRest() {
        for (ClientSession client : List.copyOf(relay.clients())) {
            if (client.attempt != null && client.attempt.isEstablished()) {
                client.attempt.migrate(ConnectionOutcome.MIGRATED);
            } else {
                relay.failUnanswered(client);
            }
        }
    }
}
