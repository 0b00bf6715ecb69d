package sandstack.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.channels.WritableByteChannel;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * The relay's single thread: Grizzly's selector thread, which runs one turn of the relay before each select. All state
 * of the relay is confined to this thread. {@link #execute} and {@link #nowMicros} may be called on any thread; the
 * starting thread also starts and stops the loop and opens listening sockets.
 */
public final class EventLoop implements Executor {
    private static final int ACCEPT_BACKLOG = 1024;
    private static final int DISCARD_BUFFER_BYTES = 64 * 1024;

    /** Receives the result of {@link #connect}, on the loop's thread. */
    public interface ConnectListener {
        /** Called when the connection is open; must call {@link Peer#setListener}. */
        void connected(Peer peer);

        /** Called when the connection could not be opened. */
        void failed();
    }

    /** Receives the result of {@link #dial}, on the loop's thread. */
    public interface DialListener {
        /** Called when the connection is open. */
        void connected(Connection<?> connection);

        /** Called when the connection could not be opened. */
        void failed();
    }

    /** A connection attempt in progress. */
    public interface PendingConnect {
        /** Cancels the attempt: its listener is not called, and a connection that opens nevertheless is closed. */
        void cancel();
    }

    /** Creates the channel through which a socket is written; tests substitute one that accepts fewer bytes. */
    interface OutputChannelFactory {
        WritableByteChannel wrap(SocketChannel socket);
    }

    private final OutputChannelFactory outputChannels;
    private final TCPNIOTransport transport;
    private final InputScheduler inputScheduler = new InputScheduler();
    private final TurnSelectorHandler selectorHandler = new TurnSelectorHandler(this::nowMicros, inputScheduler);
    private final ByteBuffer discardBuffer = ByteBuffer.allocateDirect(DISCARD_BUFFER_BYTES);
    private final HeapBudget heapBudget = new HeapBudget();
    private final long wallStartMicros = System.currentTimeMillis() * 1000;
    private final long startNanos = System.nanoTime();
    private final FilterChain outboundChain;

    /** Creates a loop whose thread is not started; see {@link #start}. */
    public EventLoop() {
        this(socket -> socket);
    }

    /**
     * Creates a loop with short writes, for tests.
     *
     * @param outputChannels creates the channels through which sockets are written; they may accept fewer bytes than
     *     the sockets would
     */
    EventLoop(OutputChannelFactory outputChannels) {
        this.outputChannels = outputChannels;
        transport = TCPNIOTransportBuilder.newInstance()
                .setName("loop")
                .setIOStrategy(new PeerIoStrategy())
                .setSelectorHandler(selectorHandler)
                .setSelectorThreadPoolConfig(ThreadPoolConfig.defaultConfig()
                        .setPoolName("loop")
                        .setCorePoolSize(1)
                        .setMaxPoolSize(1))
                .setSelectorRunnersCount(1)
                .setTcpNoDelay(true)
                .setReuseAddress(true)
                .setServerConnectionBackLog(ACCEPT_BACKLOG)
                .build();
        outboundChain = chain(new BaseFilter());
        transport.setProcessor(outboundChain);
    }

    /** A monotonic clock in microseconds that was equal to Unix time when this object was created. */
    public long nowMicros() {
        return wallStartMicros + (System.nanoTime() - startNanos) / 1000;
    }

    /**
     * Starts the thread.
     *
     * @param turn runs before each select
     * @param nextTurnMicros when the next turn is due, on the clock of {@link #nowMicros}; {@link Long#MIN_VALUE} for
     *     immediately
     */
    public void start(Runnable turn, LongSupplier nextTurnMicros) throws IOException {
        selectorHandler.setTurn(turn, nextTurnMicros);
        transport.start();
    }

    /** Closes all sockets and stops the thread. */
    public void stop() throws IOException {
        transport.shutdownNow();
    }

    /** Queues a task that runs on the loop's thread before its next turn. May be called on any thread. */
    @Override
    public void execute(Runnable task) {
        selectorHandler.execute(task);
    }

    /** Creates a filter chain of the transport filter and, above it, a front's protocol filter. */
    public FilterChain chain(BaseFilter front) {
        return FilterChainBuilder.stateless()
                .add(new PeerTransportFilter(this))
                .add(front)
                .build();
    }

    /** Binds a socket to this address and accepts peers there; port 0 lets the operating system choose a port. */
    public ListeningSocket listen(String host, int port, FilterChain chain) throws IOException {
        return new ListeningSocket(bindingHandler(chain).bind(new InetSocketAddress(host, port)));
    }

    /** Accepts peers at the listening socket that this process has inherited as descriptor 0. */
    public ListeningSocket listenOnInheritedSocket(FilterChain chain) throws IOException {
        return new ListeningSocket(bindingHandler(chain).bindToInherited());
    }

    private TCPNIOBindingHandler bindingHandler(FilterChain chain) {
        // a chain that is set after the bind would miss clients that connect in between
        return TCPNIOBindingHandler.builder(transport).processor(chain).build();
    }

    /**
     * Opens a connection whose input and output go through a {@link Peer}. Called on the loop's thread; the listener is
     * called on it too, possibly before this method returns.
     */
    public PendingConnect connect(String host, int port, ConnectListener listener) {
        return dial(host, port, outboundChain, new DialListener() {
            @Override
            public void connected(Connection<?> connection) {
                listener.connected(new Peer(connection, EventLoop.this));
            }

            @Override
            public void failed() {
                listener.failed();
            }
        });
    }

    /**
     * Like {@link #connect}, but for a Grizzly connection without a {@link Peer}; the chain has its own transport
     * filter.
     */
    public PendingConnect dial(String host, int port, FilterChain chain, DialListener listener) {
        OutboundConnector connector = new OutboundConnector(transport, chain, listener);
        connector.connect(new InetSocketAddress(host, port), null, connector.completionHandler());
        return connector;
    }

    /** The heap that this loop's connections use. */
    public HeapBudget heapBudget() {
        return heapBudget;
    }

    /** Decides when much input is processed. */
    InputScheduler inputScheduler() {
        return inputScheduler;
    }

    /** Returns the channel through which this socket is written. */
    WritableByteChannel outputChannel(SocketChannel socket) {
        return outputChannels.wrap(socket);
    }

    /** Returns an empty buffer, shared by all sockets, into which discarded input is read. */
    ByteBuffer discardBuffer() {
        return discardBuffer.clear();
    }

    /** Returns the peer for whose connection a front's filter is called. */
    public static Peer peer(FilterChainContext context) {
        return Peer.of(context.getConnection());
    }
}
