package sandstack.fleet.link;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.scalecube.cluster.transport.api.Message;
import io.scalecube.cluster.transport.api.Transport;
import io.scalecube.cluster.transport.api.TransportConfig;
import io.scalecube.cluster.transport.api.TransportFactory;
import io.scalecube.transport.netty.Receiver;
import io.scalecube.transport.netty.Sender;
import io.scalecube.transport.netty.TransportImpl;
import io.scalecube.transport.netty.TransportImpl.ReceiverContext;
import io.scalecube.transport.netty.TransportImpl.SenderContext;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.NettyInbound;
import reactor.netty.NettyPipeline;
import reactor.netty.tcp.TcpClient;
import reactor.netty.tcp.TcpServer;

/**
 * Creates a TCP transport that listens on one address of the machine; the library's own transport listens on all of
 * them. The transport also bounds the number of inbound connections and the length of frames, and closes an inbound
 * connection on which nothing arrives. Runs on the library's threads.
 */
final class SingleAddressTransportFactory implements TransportFactory {
    private static final int LENGTH_BYTES = 4;
    /**
     * A member probes every other one once per probe round, which takes less than this in a fleet of fewer than 600
     * members. A peer that sends nothing for this time is therefore not a member, or is behind a partition.
     */
    private static final long READ_TIMEOUT_SECONDS = 30;

    private final String host;
    private final FilteredMessageCodec codec;
    private final int maxInboundConnections;
    private final AtomicInteger inboundConnections = new AtomicInteger();

    SingleAddressTransportFactory(String host, FilteredMessageCodec codec, int maxInboundConnections) {
        this.host = host;
        this.codec = codec;
        this.maxInboundConnections = maxInboundConnections;
    }

    @Override
    public Transport createTransport(TransportConfig config) {
        return new TransportImpl(
                config.messageCodec(), new InboundServer(config), new OutboundClient(config), config.addressMapper());
    }

    /** Adds length-prefixed framing to the channel's pipeline, before the bridge to the reactive streams. */
    private static void addFrameCodec(Channel channel, int maxFrameBytes) {
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.addBefore(NettyPipeline.ReactiveBridge, "length", new LengthFieldPrepender(LENGTH_BYTES));
        pipeline.addBefore(
                NettyPipeline.ReactiveBridge,
                "frame",
                new LengthFieldBasedFrameDecoder(maxFrameBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
    }

    /** Accepts connections and receives messages. */
    private final class InboundServer implements Receiver {
        private final TransportConfig config;

        InboundServer(TransportConfig config) {
            this.config = config;
        }

        @Override
        public Mono<DisposableServer> bind() {
            return Mono.deferContextual(context -> listen(context.get(ReceiverContext.class)));
        }

        private Mono<DisposableServer> listen(ReceiverContext context) {
            return TcpServer.create()
                    .host(host)
                    .port(config.port())
                    .runOn(context.loopResources())
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .doOnConnection(this::accepted)
                    .doOnChannelInit((observer, channel, remote) -> {
                        addFrameCodec(channel, config.maxFrameLength());
                        channel.pipeline()
                                .addFirst("silent", new ReadTimeoutHandler(READ_TIMEOUT_SECONDS, TimeUnit.SECONDS));
                    })
                    .handle((in, out) -> receive(in, context))
                    .bind()
                    .cast(DisposableServer.class);
        }

        private Mono<Void> receive(NettyInbound in, ReceiverContext context) {
            return in.receive()
                    .retain()
                    .doOnNext(frame -> {
                        context.onMessage(frame);
                        if (codec.pollLastRejected()) {
                            // a peer whose message the codec rejects is not a member
                            in.withConnection(Connection::dispose);
                        }
                    })
                    .then();
        }

        private void accepted(Connection connection) {
            if (inboundConnections.incrementAndGet() > maxInboundConnections) {
                inboundConnections.decrementAndGet();
                connection.dispose();
                return;
            }
            connection.onDispose(inboundConnections::decrementAndGet);
        }
    }

    /** Opens connections and sends messages. */
    private static final class OutboundClient implements Sender {
        private final TransportConfig config;

        OutboundClient(TransportConfig config) {
            this.config = config;
        }

        @Override
        public Mono<Connection> connect(String address) {
            return Mono.deferContextual(context -> TcpClient.newConnection()
                    .runOn(context.get(SenderContext.class).loopResources())
                    .host(Transport.parseHost(address))
                    .port(Transport.parsePort(address))
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, config.connectTimeout())
                    .doOnChannelInit((observer, channel, remote) -> addFrameCodec(channel, config.maxFrameLength()))
                    .connect()
                    .cast(Connection.class));
        }

        @Override
        public Mono<Void> send(Message message) {
            return Mono.deferContextual(context -> {
                Connection connection = context.get(Connection.class);
                SenderContext sender = context.get(SenderContext.class);
                return connection
                        .outbound()
                        .sendObject(
                                Mono.fromCallable(() -> sender.messageEncoder().apply(message)), any -> true)
                        .then();
            });
        }
    }
}
