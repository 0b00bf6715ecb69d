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
 * A TCP transport that listens at one address of the machine, where the library's own listens at all. It bounds the
 * number of peers and the length of frames, and closes connections that are idle. Runs on the library's threads.
 */
final class SingleAddressTransportFactory implements TransportFactory {
    private static final int LENGTH_BYTES = 4;
    /** Members send messages every second; a peer that is silent for longer is none, or behind a partition. */
    private static final long READ_TIMEOUT_SECONDS = 30;

    private final String host;
    private final FilteredMessageCodec codec;
    private final int maxPeers;
    private final AtomicInteger peerCount = new AtomicInteger();

    SingleAddressTransportFactory(String host, FilteredMessageCodec codec, int maxPeers) {
        this.host = host;
        this.codec = codec;
        this.maxPeers = maxPeers;
    }

    @Override
    public Transport createTransport(TransportConfig config) {
        return new TransportImpl(
                config.messageCodec(), new InboundServer(config), new OutboundClient(config), config.addressMapper());
    }

    /** Adds the framing to the channel itself, ahead of the bridge to the reactive streams. */
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
                            // a peer that sends one foreign message is no member
                            in.withConnection(Connection::dispose);
                        }
                    })
                    .then();
        }

        private void accepted(Connection connection) {
            if (peerCount.incrementAndGet() > maxPeers) {
                peerCount.decrementAndGet();
                connection.dispose();
                return;
            }
            connection.onDispose(peerCount::decrementAndGet);
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
