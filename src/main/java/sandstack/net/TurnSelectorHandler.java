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
 * Runs queued tasks and one turn before each select, and limits the select to the time until the next turn is due.
 * After a stall it selects once more before the turn. {@link #execute} may be called on any thread; after the start,
 * everything else runs on the selector's thread.
 */
final class TurnSelectorHandler extends DefaultSelectorHandler implements Executor {
    private static final Logger LOG = Logger.getLogger("sandstack.net");
    /**
     * Maximum age of the readiness on which a turn acts; if the last select is older, another one precedes the turn.
     */
    private static final long MAX_READINESS_AGE_MICROS = 10_000;

    /** Maximum duration of one select, even if no turn is scheduled. */
    private static final long MAX_SELECT_MILLIS = 1000;

    private final LongSupplier clockMicros;
    private final InputScheduler inputScheduler;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private volatile Thread thread;
    private volatile SelectorRunner runner;
    private long lastSelectMicros;
    private boolean selectBeforeTurn;
    private Runnable turn;
    private LongSupplier nextTurnMicros;

    /**
     * Creates a handler; {@link #setTurn} must be called before the transport starts.
     *
     * @param clockMicros the clock in microseconds by which turns are due
     * @param inputScheduler runs before each turn
     */
    TurnSelectorHandler(LongSupplier clockMicros, InputScheduler inputScheduler) {
        this.clockMicros = clockMicros;
        this.inputScheduler = inputScheduler;
    }

    /**
     * Sets the turn that runs before each select.
     *
     * @param newNextTurnMicros when the next turn is due; {@code Long.MIN_VALUE} for immediately,
     *     {@code Long.MAX_VALUE} if no turn is scheduled
     */
    void setTurn(Runnable newTurn, LongSupplier newNextTurnMicros) {
        turn = newTurn;
        nextTurnMicros = newNextTurnMicros;
    }

    /** Queues a task that runs before the next turn; wakes up the selector if called on another thread. */
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
            // right after a stall the turn would act on expired deadlines before the input that arrived meanwhile is
            // read, and would forward requests of clients that have disconnected
            selectBeforeTurn =
                    !selectBeforeTurn && clockMicros.getAsLong() - lastSelectMicros > MAX_READINESS_AGE_MICROS;
            if (!selectBeforeTurn) {
                inputScheduler.runTurn();
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
                || inputScheduler.hasWaiting()
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
