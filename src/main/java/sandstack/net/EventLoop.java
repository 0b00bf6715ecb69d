package sandstack.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.channels.WritableByteChannel;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.IOStrategy;
import org.glassfish.grizzly.Transport;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.nio.DefaultSelectorHandler;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.SelectorRunner;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * The one thread: Grizzly's selector, with a turn of the relay before each wait. Everything that belongs to
 * the relay runs on it.
 */
public final class EventLoop implements Executor {
    private static final Logger LOG = Logger.getLogger("sandstack.net");

    /** Told of a connection with rings that was being made. */
    public interface ConnectListener {
        /** The connection is made. */
        void connected(Peer peer);

        /** The connection could not be made. */
        void failed();
    }

    /** Told of a connection with a chain of its own that was being made. */
    public interface DialListener {
        /** The connection is made. */
        void connected(Connection<?> connection);

        /** The connection could not be made. */
        void failed();
    }

    /** A connection that is being made; it may be called off. */
    public interface PendingConnect {
        /** Calls it off: nobody is told of its end, and a connection that comes all the same is closed. */
        void cancel();
    }

    /** What was seen at the sockets longer ago than this is no ground to act on: they are looked at first. */
    private static final long STALE = 10_000;

    /** What a socket is written through. */
    interface Output {
        WritableByteChannel of(SocketChannel socket);
    }

    private final Output output;
    private final TCPNIOTransport transport;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final ByteBuffer scrap = ByteBuffer.allocateDirect(64 * 1024);
    private final long wallStart = System.currentTimeMillis() * 1000;
    private final long nanoStart = System.nanoTime();
    private final FilterChain outgoing;
    private volatile Thread thread;
    private volatile SelectorRunner runner;
    /** When the selector last said what has come. */
    private long lookedAt;

    private boolean lookFirst;
    private Runnable turn;
    private LongSupplier nextTurn;

    /** Creates a loop whose thread has not started; see {@link #start}. */
    public EventLoop() {
        this(socket -> socket);
    }

    /**
     * A loop whose writes can be shortened.
     *
     * @param output sockets are written through these channels, which may take less than the sockets would
     */
    EventLoop(Output output) {
        this.output = output;
        transport = TCPNIOTransportBuilder.newInstance()
                .setName("loop")
                .setIOStrategy(new Strategy())
                .setSelectorHandler(new Handler())
                .setSelectorThreadPoolConfig(ThreadPoolConfig.defaultConfig()
                        .setPoolName("loop")
                        .setCorePoolSize(1)
                        .setMaxPoolSize(1))
                .setSelectorRunnersCount(1)
                .setTcpNoDelay(true)
                .setReuseAddress(true)
                .setServerConnectionBackLog(1024)
                .build();
        outgoing = chain(new BaseFilter());
        transport.setProcessor(outgoing);
    }

    /** Microseconds, near Unix time and never going back. */
    public long nowMicros() {
        return wallStart + (System.nanoTime() - nanoStart) / 1000;
    }

    /**
     * Starts the thread.
     *
     * @param turn what is done before each wait
     * @param nextTurn when it wants to be done again, on the clock of {@link #nowMicros}; the least value for at once
     */
    public void start(Runnable turn, LongSupplier nextTurn) throws IOException {
        this.turn = turn;
        this.nextTurn = nextTurn;
        transport.start();
    }

    /** Closes all sockets and ends the thread. */
    public void stop() throws IOException {
        transport.shutdownNow();
    }

    /** Runs this on the loop's thread, in its next turn. */
    @Override
    public void execute(Runnable task) {
        tasks.add(task);
        SelectorRunner sleeping = runner;
        if (sleeping != null && Thread.currentThread() != thread) {
            sleeping.getSelector().wakeup();
        }
    }

    /** A chain whose lowest filter is the rings' and whose upper one is a front's. */
    public FilterChain chain(BaseFilter front) {
        return FilterChainBuilder.stateless().add(new RingFilter()).add(front).build();
    }

    /** A socket at which peers are accepted. */
    public static final class ListeningSocket {
        private final TCPNIOServerConnection server;

        private ListeningSocket(TCPNIOServerConnection server) {
            this.server = server;
        }

        /** Where it listens. */
        public int port() {
            return ((InetSocketAddress) server.getLocalAddress()).getPort();
        }

        /**
         * Accepts nobody any more and leaves the socket as it is: who waits in the kernel's queue waits there for
         * another process that has the same socket.
         */
        public void pause() throws IOException {
            server.disableIOEvent(IOEvent.SERVER_ACCEPT);
        }
    }

    /** Listens at this address. */
    public ListeningSocket listen(String host, int port, FilterChain chain) throws IOException {
        return new ListeningSocket(binding(chain).bind(new InetSocketAddress(host, port)));
    }

    /** Accepts at the listening socket that this process has inherited as descriptor 0. */
    public ListeningSocket listenOnInheritedSocket(FilterChain chain) throws IOException {
        return new ListeningSocket(binding(chain).bindToInherited());
    }

    private TCPNIOBindingHandler binding(FilterChain chain) {
        // a chain set only after the bind comes too late for a client that is quicker: its bytes reached a
        // connection that no front owned
        return TCPNIOBindingHandler.builder(transport).processor(chain).build();
    }

    /** Connects from the loop's thread; the callback comes on it too, perhaps before this returns. */
    public PendingConnect connect(String host, int port, ConnectListener told) {
        return dial(host, port, outgoing, new DialListener() {
            @Override
            public void connected(Connection<?> connection) {
                told.connected(new Peer(connection, EventLoop.this));
            }

            @Override
            public void failed() {
                told.failed();
            }
        });
    }

    /** Connects with a filter chain that brings its own transport filter. */
    public PendingConnect dial(String host, int port, FilterChain chain, DialListener told) {
        Connector connector = new Connector(chain, told);
        connector.connect(new InetSocketAddress(host, port), null, connector.handler);
        return connector;
    }

    /** What this socket is written through. */
    WritableByteChannel output(SocketChannel socket) {
        return output.of(socket);
    }

    /** An empty buffer for bytes that nobody will look at. */
    ByteBuffer scrap() {
        return scrap.clear();
    }

    /** The socket of a connection that a front's filter is told of. */
    public static Peer peer(FilterChainContext context) {
        return Peer.of(context.getConnection());
    }

    /** The lowest filter: moves bytes between sockets and rings, which Grizzly's own cannot without closing
     * both directions at a half-close. */
    private final class RingFilter extends BaseFilter {
        @Override
        public NextAction handleAccept(FilterChainContext context) {
            new Peer(context.getConnection(), EventLoop.this);
            return context.getInvokeAction();
        }

        @Override
        public NextAction handleRead(FilterChainContext context) {
            Peer peer = Peer.of(context.getConnection());
            if (peer != null) {
                guarded(peer, peer::readable);
            }
            return context.getStopAction();
        }
    }

    static void guarded(Peer peer, Runnable work) {
        try {
            work.run();
        } catch (RuntimeException e) {
            // a fault of ours on one connection must not take the others along
            LOG.log(Level.SEVERE, "fault on a connection, which is reset", e);
            peer.reset();
        }
    }

    /** Same-thread processing; write readiness goes to the rings instead of Grizzly's write queue. */
    private static final class Strategy implements IOStrategy {
        private final IOStrategy usual = SameThreadIOStrategy.getInstance();

        @Override
        public boolean executeIoEvent(Connection connection, IOEvent event) throws IOException {
            return executeIoEvent(connection, event, true);
        }

        @Override
        public boolean executeIoEvent(Connection connection, IOEvent event, boolean enabled) throws IOException {
            Peer peer = event == IOEvent.WRITE ? Peer.of(connection) : null;
            if (peer != null) {
                guarded(peer, peer::writable);
                return true;
            }
            return usual.executeIoEvent(connection, event, enabled);
        }

        @Override
        public Executor getThreadPoolFor(Connection connection, IOEvent event) {
            return usual.getThreadPoolFor(connection, event);
        }

        @Override
        public ThreadPoolConfig createDefaultWorkerPoolConfig(Transport transport) {
            return usual.createDefaultWorkerPoolConfig(transport);
        }
    }

    /**
     * Takes the relay's turn before each wait, and waits no longer than until its next deadline. After a hold-up it looks
     * at the sockets once before the turn.
     */
    private final class Handler extends DefaultSelectorHandler {
        @Override
        public boolean preSelect(SelectorRunner selectorRunner) throws IOException {
            thread = Thread.currentThread();
            runner = selectorRunner;
            boolean on = super.preSelect(selectorRunner);
            try {
                for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
                    task.run();
                }
                // held up, the relay would act on deadlines before it hears what came meanwhile: a request whose
                // client had left was sent on
                lookFirst = !lookFirst && nowMicros() - lookedAt > STALE;
                if (!lookFirst) {
                    turn.run();
                }
            } catch (RuntimeException e) {
                LOG.log(Level.SEVERE, "fault in a turn", e);
            }
            return on;
        }

        @Override
        public Set<SelectionKey> select(SelectorRunner selectorRunner) throws IOException {
            long next = nextTurn.getAsLong();
            long millis = next == Long.MAX_VALUE ? 1000 : Math.min(1000, (next - nowMicros() + 999) / 1000);
            if (lookFirst
                    || next == Long.MIN_VALUE
                    || millis <= 0
                    || !selectorRunner.getPostponedTasks().isEmpty()
                    || !tasks.isEmpty()) {
                selectorRunner.getSelector().selectNow();
            } else {
                selectorRunner.getSelector().select(millis);
            }
            lookedAt = nowMicros();
            return selectorRunner.getSelector().selectedKeys();
        }
    }

    /** A connection that is being made, and who is told of it unless it is called off. */
    private final class Connector extends TCPNIOConnectorHandler implements PendingConnect {
        private Connection<?> connection;
        private boolean over;
        private final EmptyCompletionHandler<Connection> handler;

        Connector(FilterChain chain, DialListener told) {
            super(EventLoop.this.transport);
            setProcessor(chain);
            handler = new EmptyCompletionHandler<>() {
                @Override
                public void completed(Connection result) {
                    if (over) {
                        result.terminateSilently();
                        return;
                    }
                    over = true;
                    told.connected(result);
                }

                @Override
                public void failed(Throwable why) {
                    if (!over) {
                        over = true;
                        told.failed();
                    }
                }
            };
        }

        @Override
        protected void preConfigure(Connection made) {
            connection = made;
            super.preConfigure(made);
        }

        @Override
        public void cancel() {
            if (!over) {
                over = true;
                if (connection != null) {
                    ((NIOConnection) connection).terminateSilently();
                }
            }
        }
    }
}
