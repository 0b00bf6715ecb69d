package sandstack.testserver;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.glassfish.grizzly.filterchain.BaseFilter;
import sandstack.core.DeadlineScheduler;
import sandstack.net.EventLoop;

/**
 * The event loop of the test servers and test clients, with its thread and timers. Servers and clients are created and
 * used on that thread only; other threads run tasks there through {@link #call}, {@link #run} and {@link #create}.
 * Servers listen on loopback only.
 */
public final class TestServerLoop implements AutoCloseable {
    static final String LOOPBACK = "127.0.0.1";
    private static final long CALL_TIMEOUT_SECONDS = 30;

    private final EventLoop eventLoop = new EventLoop();
    private final DeadlineScheduler deadlines = new DeadlineScheduler();

    /** Starts the thread. */
    public TestServerLoop() throws IOException {
        eventLoop.start(() -> deadlines.runExpired(eventLoop.nowMicros()), deadlines::nextMicros);
    }

    /** Runs a task on the thread of the loop and returns its result; fails after a timeout. */
    public <T> T call(Supplier<T> task) {
        CompletableFuture<T> result = new CompletableFuture<>();
        eventLoop.execute(() -> {
            try {
                result.complete(task.get());
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
            throw new IllegalStateException("the event loop did not complete the call: " + e, e);
        }
    }

    /** Runs a task on the thread of the loop and waits for it as {@link #call} does. */
    public void run(Runnable task) {
        call(() -> {
            task.run();
            return true;
        });
    }

    /** Creates a server that may fail to listen. */
    public interface ServerFactory<T> {
        /** Called on the thread of the loop. */
        T create() throws IOException;
    }

    /** Creates a server on the thread of the loop and returns it; fails if it cannot listen. */
    public <T> T create(ServerFactory<T> factory) {
        return call(() -> {
            try {
                return factory.create();
            } catch (IOException e) {
                throw new IllegalStateException("a test server cannot listen: " + e.getMessage(), e);
            }
        });
    }

    /** Monotonic time in microseconds, close to Unix time. May be called on any thread. */
    public long nowMicros() {
        return eventLoop.nowMicros();
    }

    EventLoop eventLoop() {
        return eventLoop;
    }

    /** Listens on a port that the system chooses and returns that port. Call on the thread of the loop. */
    public int listen(BaseFilter filter) throws IOException {
        return listen(0, filter);
    }

    /** Listens on this port, or with 0 on a port that the system chooses, and returns the port. */
    int listen(int port, BaseFilter filter) throws IOException {
        return eventLoop.listen(LOOPBACK, port, eventLoop.chain(filter)).port();
    }

    /** Opens a connection; the listener is called on the thread of the loop. Call on that thread. */
    public void connect(String host, int port, EventLoop.ConnectListener listener) {
        eventLoop.connect(host, port, listener);
    }

    /** Schedules a task after a delay and returns its timer, which can be cancelled. Call on the thread of the loop. */
    public DeadlineScheduler.Deadline schedule(long delayMicros, Runnable task) {
        return deadlines.schedule(eventLoop.nowMicros() + delayMicros, task);
    }

    @Override
    public void close() {
        try {
            eventLoop.stop();
        } catch (IOException e) {
            // ignored: the thread ends with the process at the latest
        }
    }
}
