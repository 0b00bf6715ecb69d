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
 * The relay's single thread: Grizzly's selector, with one turn of the relay before each select. All state of the relay
 * belongs to this thread; only {@link #execute} and {@link #nowMicros} may be called from others.
 */
public final class EventLoop implements Executor {
    private static final int ACCEPT_BACKLOG = 1024;
    private static final int DISCARD_BUFFER_BYTES = 64 * 1024;

    /** Notified of the result of {@link #connect}, on the loop's thread. */
    public interface ConnectListener {
        /** The connection is made. */
        void connected(Peer peer);

        /** The connection could not be made. */
        void failed();
    }

    /** Notified of the result of {@link #dial}, on the loop's thread. */
    public interface DialListener {
        /** The connection is made. */
        void connected(Connection<?> connection);

        /** The connection could not be made. */
        void failed();
    }

    /** A connection that is being made. */
    public interface PendingConnect {
        /** Cancels it: its listener is not notified, and a connection that is made all the same is closed. */
        void cancel();
    }

    /** Supplies the channel through which a socket is written. */
    interface OutputChannelFactory {
        WritableByteChannel wrap(SocketChannel socket);
    }

    private final OutputChannelFactory outputChannels;
    private final TCPNIOTransport transport;
    private final TurnSelectorHandler selectorHandler = new TurnSelectorHandler(this::nowMicros);
    private final ByteBuffer discardBuffer = ByteBuffer.allocateDirect(DISCARD_BUFFER_BYTES);
    private final long wallStartMicros = System.currentTimeMillis() * 1000;
    private final long startNanos = System.nanoTime();
    private final FilterChain outboundChain;

    /** Creates a loop whose thread has not started; see {@link #start}. */
    public EventLoop() {
        this(socket -> socket);
    }

    /**
     * Creates a loop whose writes a test can shorten.
     *
     * @param outputChannels sockets are written through these channels, which may accept less than the sockets would
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

    /** Microseconds, close to Unix time and monotonic. */
    public long nowMicros() {
        return wallStartMicros + (System.nanoTime() - startNanos) / 1000;
    }

    /**
     * Starts the thread.
     *
     * @param turn runs before each select
     * @param nextTurnMicros when the turn is due again, on the clock of {@link #nowMicros}; the least value for at once
     */
    public void start(Runnable turn, LongSupplier nextTurnMicros) throws IOException {
        selectorHandler.setTurn(turn, nextTurnMicros);
        transport.start();
    }

    /** Closes all sockets and ends the thread. */
    public void stop() throws IOException {
        transport.shutdownNow();
    }

    /** Runs this task on the loop's thread, before its next turn. May be called on any thread. */
    @Override
    public void execute(Runnable task) {
        selectorHandler.execute(task);
    }

    /** A chain of the transport filter and, above it, the filter of one protocol front. */
    public FilterChain chain(BaseFilter front) {
        return FilterChainBuilder.stateless()
                .add(new PeerTransportFilter(this))
                .add(front)
                .build();
    }

    /** Listens at this address. */
    public ListeningSocket listen(String host, int port, FilterChain chain) throws IOException {
        return new ListeningSocket(bindingHandler(chain).bind(new InetSocketAddress(host, port)));
    }

    /** Accepts at the listening socket that this process has inherited as descriptor 0. */
    public ListeningSocket listenOnInheritedSocket(FilterChain chain) throws IOException {
        return new ListeningSocket(bindingHandler(chain).bindToInherited());
    }

    private TCPNIOBindingHandler bindingHandler(FilterChain chain) {
        // a chain that is set after the bind misses clients which connect in between
        return TCPNIOBindingHandler.builder(transport).processor(chain).build();
    }

    /** Connects from the loop's thread; the callback runs on it too, perhaps before this returns. */
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

    /** Connects as {@link #connect} does, with a filter chain that has its own transport filter. */
    public PendingConnect dial(String host, int port, FilterChain chain, DialListener listener) {
        OutboundConnector connector = new OutboundConnector(transport, chain, listener);
        connector.connect(new InetSocketAddress(host, port), null, connector.completionHandler());
        return connector;
    }

    /** The channel through which this socket is written. */
    WritableByteChannel outputChannel(SocketChannel socket) {
        return outputChannels.wrap(socket);
    }

    /** An empty buffer, shared by all sockets, for input that nobody reads. */
    ByteBuffer discardBuffer() {
        return discardBuffer.clear();
    }

    /** The socket of the connection that a front's filter is called for. */
    public static Peer peer(FilterChainContext context) {
        return Peer.of(context.getConnection());
    }
}
