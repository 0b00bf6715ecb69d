package sandstack.net;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.glassfish.grizzly.nio.DefaultSelectorHandler;
import org.glassfish.grizzly.nio.SelectorRunner;

/**
 * Runs queued tasks and one turn before each select, and selects no longer than until the next turn is due. After a
 * stall it selects once more before the turn. {@link #execute} may be called on any thread, the rest runs on the
 * selector's.
 */
final class TurnSelectorHandler extends DefaultSelectorHandler implements Executor {
    private static final Logger LOG = Logger.getLogger("sandstack.net");
    /** Readiness older than this is selected again before a turn acts on it. */
    private static final long MAX_READINESS_AGE_MICROS = 10_000;

    private static final long MAX_SELECT_MILLIS = 1000;

    private final LongSupplier clockMicros;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private volatile Thread thread;
    private volatile SelectorRunner runner;
    private long lastSelectMicros;
    private boolean selectBeforeTurn;
    private Runnable turn;
    private LongSupplier nextTurnMicros;

    /**
     * Creates a handler; {@link #setTurn} has to be called before the transport starts.
     *
     * @param clockMicros the clock on which turns are due
     */
    TurnSelectorHandler(LongSupplier clockMicros) {
        this.clockMicros = clockMicros;
    }

    /**
     * Sets what runs before each select.
     *
     * @param newNextTurnMicros when the turn is due again; {@code Long.MIN_VALUE} for at once, {@code Long.MAX_VALUE}
     *     for not by time
     */
    void setTurn(Runnable newTurn, LongSupplier newNextTurnMicros) {
        turn = newTurn;
        nextTurnMicros = newNextTurnMicros;
    }

    /** Queues a task for the next turn and wakes the selector up where another thread calls. */
    @Override
    public void execute(Runnable task) {
        tasks.add(task);
        SelectorRunner current = runner;
        if (current != null && Thread.currentThread() != thread) {
            current.getSelector().wakeup();
        }
    }

    @Override
    public boolean preSelect(SelectorRunner selectorRunner) throws IOException {
        thread = Thread.currentThread();
        runner = selectorRunner;
        boolean proceed = super.preSelect(selectorRunner);
        try {
            runTasks();
            // a turn after a stall would act on deadlines before the input that arrived meanwhile, and forward the
            // request of a client that has disconnected
            selectBeforeTurn =
                    !selectBeforeTurn && clockMicros.getAsLong() - lastSelectMicros > MAX_READINESS_AGE_MICROS;
            if (!selectBeforeTurn) {
                turn.run();
            }
        } catch (RuntimeException e) {
            LOG.log(Level.SEVERE, "uncaught exception in an event loop turn", e);
        }
        return proceed;
    }

    private void runTasks() {
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            task.run();
        }
    }

    @Override
    public Set<SelectionKey> select(SelectorRunner selectorRunner) throws IOException {
        long nextMicros = nextTurnMicros.getAsLong();
        long waitMillis = waitMillis(nextMicros);
        if (selectBeforeTurn
                || nextMicros == Long.MIN_VALUE
                || waitMillis <= 0
                || !selectorRunner.getPostponedTasks().isEmpty()
                || !tasks.isEmpty()) {
            selectorRunner.getSelector().selectNow();
        } else {
            selectorRunner.getSelector().select(waitMillis);
        }
        lastSelectMicros = clockMicros.getAsLong();
        return selectorRunner.getSelector().selectedKeys();
    }

    private long waitMillis(long nextMicros) {
        return nextMicros == Long.MAX_VALUE
                ? MAX_SELECT_MILLIS
                : Math.min(MAX_SELECT_MILLIS, (nextMicros - clockMicros.getAsLong() + 999) / 1000);
    }
}
