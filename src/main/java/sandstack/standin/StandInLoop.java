package sandstack.standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.glassfish.grizzly.filterchain.BaseFilter;
import sandstack.core.DeadlineScheduler;
import sandstack.net.EventLoop;

/**
 * The one thread on which stand-ins live, with their deadlines. Stand-ins are created and spoken to on that thread;
 * {@link #on} gets there from others. Listens on loopback only, at ports of the system's choice.
 */
public final class StandInLoop implements AutoCloseable {
    static final String LOOPBACK = "127.0.0.1";
    private static final long CALL_TIMEOUT_SECONDS = 30;

    private final EventLoop loop = new EventLoop();
    private final DeadlineScheduler deadlines = new DeadlineScheduler();
    private final List<Runnable> closing = new ArrayList<>();

    /** Starts the thread. */
    public StandInLoop() throws IOException {
        loop.start(() -> deadlines.runExpired(loop.nowMicros()), deadlines::nextMicros);
    }

    /** Runs this on the loop's thread and waits for what it gives. */
    public <T> T on(Supplier<T> what) {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                result.complete(what.get());
            } catch (RuntimeException e) {
                result.completeExceptionally(e);
            }
        });
        try {
            return result.get(CALL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException("the yard did not answer: " + e, e);
        }
    }

    /** The same for what gives nothing. */
    public void run(Runnable what) {
        on(() -> {
            what.run();
            return true;
        });
    }

    /** What may fail to listen. */
    public interface Made<T> {
        /** Makes it; called on the loop's thread. */
        T create() throws IOException;
    }

    /** Makes a stand-in on the yard's thread. */
    public <T> T make(Made<T> made) {
        return on(() -> {
            try {
                return made.create();
            } catch (IOException e) {
                throw new IllegalStateException("a stand-in cannot listen: " + e.getMessage(), e);
            }
        });
    }

    /** Microseconds that never go back, near Unix time. */
    public long now() {
        return loop.nowMicros();
    }

    EventLoop loop() {
        return loop;
    }

    /** Listens on a port of the system's choice and returns it; on the yard's thread, as all of what follows. */
    public int listen(BaseFilter filter) throws IOException {
        return loop.listen(LOOPBACK, 0, loop.chain(filter)).port();
    }

    /** Dials. */
    public void connect(String host, int port, EventLoop.ConnectListener told) {
        loop.connect(host, port, told);
    }

    /** Does this so many microseconds from now, unless it is called off. */
    public DeadlineScheduler.Deadline after(long micros, Runnable task) {
        return deadlines.schedule(loop.nowMicros() + micros, task);
    }

    /** What is done before the thread ends. */
    void atClose(Runnable what) {
        closing.add(what);
    }

    @Override
    public void close() {
        closing.forEach(Runnable::run);
        try {
            loop.stop();
        } catch (IOException e) {
            // the thread ends with the process at the latest
        }
    }
}
