import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.apache.qpid.protonj2.buffer.ProtonBuffer;
import org.apache.qpid.protonj2.buffer.ProtonBufferAllocator;
import org.apache.qpid.protonj2.engine.Connection;
import org.apache.qpid.protonj2.engine.Engine;
import org.apache.qpid.protonj2.engine.EngineFactory;
import org.apache.qpid.protonj2.engine.EngineHandler;
import org.apache.qpid.protonj2.engine.EngineHandlerContext;
import org.apache.qpid.protonj2.engine.IncomingDelivery;
import org.apache.qpid.protonj2.engine.OutgoingAMQPEnvelope;
import org.apache.qpid.protonj2.engine.OutgoingDelivery;
import org.apache.qpid.protonj2.engine.Receiver;
import org.apache.qpid.protonj2.engine.Sender;
import org.apache.qpid.protonj2.engine.Session;
import org.apache.qpid.protonj2.types.Binary;
import org.apache.qpid.protonj2.types.Symbol;
import org.apache.qpid.protonj2.types.messaging.Accepted;
import org.apache.qpid.protonj2.types.messaging.Source;
import org.apache.qpid.protonj2.types.messaging.Target;
import org.apache.qpid.protonj2.types.transport.Attach;
import org.apache.qpid.protonj2.types.transport.DeliveryState;

/** One side of an AMQP 1.0 connection on a blocking socket: the engine of the project's AMQP library, and a reader. */
final class AmqpPeer {
    final Kit kit;
    final String label;
    final Socket socket;
    final Engine engine;
    final Connection connection;
    volatile boolean ended;
    /** The error with which the other side has closed the connection; "none" for a close without an error. */
    volatile String remoteClose;

    AmqpPeer(Kit kit, String label, Socket socket, Consumer<AmqpPeer> handlers) throws IOException {
        this.kit = kit;
        this.label = label;
        this.socket = socket;
        socket.setTcpNoDelay(true);
        engine = EngineFactory.PROTON.createNonSaslEngine();
        engine.outputConsumer(this::write);
        engine.errorHandler(failed -> kit.log(label + ": engine failed: " + failed.failureCause()));
        connection = engine.start();
        connection.closeHandler(c -> {
            remoteClose = c.getRemoteCondition() == null
                    ? "none"
                    : c.getRemoteCondition().getCondition() + " " + c.getRemoteCondition().getDescription();
            kit.log(label + ": the other side closed the connection: " + remoteClose);
            c.close();
        });
        handlers.accept(this);
    }

    void startReading() {
        Kit.go(this::read);
        Kit.go(this::keepAlive);
    }

    /** Sends an empty frame whenever the other side's idle timeout requires one. */
    private void keepAlive() {
        while (!ended) {
            Kit.sleep(500);
            synchronized (this) {
                if (engine.isWritable() && connection.isLocallyOpen() && !connection.isLocallyClosed()) {
                    engine.tick(System.nanoTime() / 1_000_000);
                }
            }
        }
    }

    private void write(ProtonBuffer buffer) {
        byte[] bytes = new byte[buffer.getReadableBytes()];
        buffer.readBytes(bytes, 0, bytes.length);
        try {
            socket.getOutputStream().write(bytes);
        } catch (IOException e) {
            ended = true;
        }
    }

    private void read() {
        try {
            InputStream in = socket.getInputStream();
            byte[] bytes = new byte[16 * 1024];
            while (true) {
                int count = in.read(bytes);
                if (count < 0) {
                    break;
                }
                synchronized (this) {
                    if (engine.isWritable()) {
                        byte[] copy = java.util.Arrays.copyOf(bytes, count);
                        engine.ingest(ProtonBufferAllocator.defaultAllocator().copy(copy));
                    }
                }
            }
        } catch (IOException | RuntimeException e) {
            // the end is recorded below
        }
        ended = true;
        close();
    }

    /** Closes the socket, without a close performative. */
    void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // closed already
        }
    }

    synchronized void run(Runnable task) {
        task.run();
    }

    /** A stand-in client whose link sends deliveries. */
    static final class Client {
        final AmqpPeer peer;
        Sender sender;
        volatile boolean attached;
        volatile String detached;

        /**
         * Connects and attaches.
         *
         * @param again whether the client comes again after a break or a move
         * @param unsettled tags for the unsettled map of the attach (AMQP 1.0, section 2.6.13); null for no map
         */
        Client(Kit kit, String label, int port, String container, String link, boolean again, List<Byte> unsettled)
                throws IOException {
            peer = new AmqpPeer(kit, label, new Socket(Kit.HOST, port), p -> {
                if (unsettled != null) {
                    addUnsettledMap(p.engine, unsettled);
                }
            });
            peer.run(() -> {
                Connection connection = peer.connection;
                connection.setContainerId(container);
                connection.open();
                Session session = connection.session();
                session.open();
                sender = session.sender(link);
                sender.setSource(new Source());
                Target target = new Target();
                target.setAddress("orders");
                sender.setTarget(target);
                Map<Symbol, Object> properties = new HashMap<>();
                properties.put(Symbol.valueOf("sandstack:class"), "order-status");
                properties.put(Symbol.valueOf("sandstack:key"), "key-" + container);
                properties.put(Symbol.valueOf("sandstack:deadline-ms"), 3000);
                if (again) {
                    properties.put(Symbol.valueOf("sandstack:again"), Boolean.TRUE);
                }
                sender.setProperties(properties);
                sender.openHandler(s -> attached = s.getRemoteTarget() != null);
                sender.detachHandler(s -> detached = String.valueOf(s.getRemoteCondition()));
                sender.closeHandler(s -> detached = String.valueOf(s.getRemoteCondition()));
                sender.open();
            });
            peer.startReading();
        }

        /** The engine's interface has no unsettled map, so a handler puts it into the attach that is written. */
        private static void addUnsettledMap(Engine engine, List<Byte> tags) {
            Map<Binary, DeliveryState> map = new LinkedHashMap<>();
            for (byte tag : tags) {
                map.put(new Binary(new byte[] {tag}), null);
            }
            EngineHandler performatives = engine.pipeline().first();
            engine.pipeline()
                    .removeFirst()
                    .addFirst("unsettled-map", new EngineHandler() {
                        @Override
                        public void handleWrite(EngineHandlerContext context, OutgoingAMQPEnvelope envelope) {
                            if (envelope.getBody() instanceof Attach attach) {
                                attach.setUnsettled(map);
                            }
                            context.fireWrite(envelope);
                        }
                    })
                    .addFirst("performatives", performatives);
        }

        void awaitAttached() {
            for (int i = 0; i < 400 && !(attached && sender.getCredit() > 0); i++) {
                Kit.sleep(10);
            }
            if (!attached) {
                throw new Kit.CannotRun(peer.label + " was not attached");
            }
        }

        /** Sends one delivery with the given tag; returns its state at the receiver, or null after the wait. */
        String send(byte tag, String text, long waitMillis) {
            OutgoingDelivery[] sent = new OutgoingDelivery[1];
            peer.run(() -> {
                OutgoingDelivery delivery = sender.next();
                delivery.setTag(new byte[] {tag});
                delivery.setMessageFormat(0);
                delivery.writeBytes(message(text));
                sent[0] = delivery;
                delivery.deliveryStateUpdatedHandler(d -> {
                    if (d.isRemotelySettled()) {
                        // the receiver has settled: this side forgets the delivery too, and its tag is free again
                        d.settle();
                    }
                });
            });
            peer.kit.log(peer.label + ": sent " + text + " under tag " + tag);
            for (long waited = 0; waited < waitMillis; waited += 10) {
                Kit.sleep(10);
                String[] state = new String[1];
                peer.run(() -> state[0] = sent[0].getRemoteState() == null ? null : sent[0].getRemoteState().getType()
                        + (sent[0].isRemotelySettled() ? ", settled" : ""));
                if (state[0] != null) {
                    peer.kit.log(peer.label + ": " + text + " is " + state[0]);
                    return state[0];
                }
            }
            peer.kit.log(peer.label + ": no outcome for " + text);
            return null;
        }
    }

    /** The bytes of a message with one data section. */
    static ProtonBuffer message(String text) {
        byte[] body = text.getBytes(StandardCharsets.US_ASCII);
        byte[] bytes;
        int header;
        if (body.length < 256) {
            bytes = new byte[5 + body.length];
            bytes[3] = (byte) 0xa0;
            bytes[4] = (byte) body.length;
            header = 5;
        } else {
            bytes = new byte[8 + body.length];
            bytes[3] = (byte) 0xb0;
            bytes[4] = (byte) (body.length >>> 24);
            bytes[5] = (byte) (body.length >>> 16);
            bytes[6] = (byte) (body.length >>> 8);
            bytes[7] = (byte) body.length;
            header = 8;
        }
        bytes[1] = 0x53;
        bytes[2] = 0x75;
        System.arraycopy(body, 0, bytes, header, body.length);
        return ProtonBufferAllocator.defaultAllocator().copy(bytes);
    }

    /** A stand-in feed server: accepts each link, gives credit, and accepts and settles each delivery. */
    static final class Server {
        final Kit kit;
        final String uid;
        final ServerSocket server;
        final List<String> messages = new CopyOnWriteArrayList<>();
        private static final int CREDIT = 100;
        /** Whether the outcome of a delivery is sent; a feed server may still be busy with it. */
        volatile boolean sendsOutcomes = true;

        Server(Kit kit, String uid) throws IOException {
            this(kit, uid, 0);
        }

        /** Starts a feed server at this port; 0 lets the operating system choose one. */
        Server(Kit kit, String uid, int port) throws IOException {
            this.kit = kit;
            this.uid = uid;
            server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(Kit.HOST, port), 1024);
            Kit.go(this::accept);
        }

        int port() {
            return server.getLocalPort();
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = server.accept();
                    AmqpPeer peer = new AmqpPeer(kit, uid, socket, this::handle);
                    peer.startReading();
                }
            } catch (IOException e) {
                // the case has ended
            }
        }

        private void handle(AmqpPeer peer) {
            Connection connection = peer.connection;
            connection.setContainerId(uid);
            connection.openHandler(c -> c.open());
            connection.sessionOpenHandler(session -> {
                session.setIncomingCapacity(16 << 20);
                session.open();
            });
            connection.receiverOpenHandler(receiver -> {
                kit.log(uid + ": a link of container " + connection.getRemoteContainerId() + " attaches: "
                        + receiver.getName());
                receiver.setSource(receiver.getRemoteSource());
                receiver.setTarget(receiver.<Target>getRemoteTarget());
                receiver.deliveryReadHandler(this::onDelivery);
                receiver.closeHandler(r -> r.close());
                receiver.detachHandler(r -> r.detach());
                receiver.open();
                receiver.addCredit(CREDIT);
            });
        }

        private void onDelivery(IncomingDelivery delivery) {
            if (delivery.isPartial()) {
                return;
            }
            ProtonBuffer bytes = delivery.readAll();
            byte[] content = new byte[bytes == null ? 0 : bytes.getReadableBytes()];
            if (bytes != null) {
                bytes.readBytes(content, 0, content.length);
            }
            int header = content.length > 3 && content[3] == (byte) 0xb0 ? 8 : 5;
            String text = new String(content, header, content.length - header, StandardCharsets.US_ASCII);
            messages.add(text);
            if (text.length() < 64) {
                kit.log(uid + ": ran " + text);
            }
            if (!sendsOutcomes) {
                return;
            }
            if (!delivery.isRemotelySettled()) {
                delivery.disposition(Accepted.getInstance(), true);
            } else {
                delivery.settle();
            }
            Receiver receiver = delivery.getLink();
            if (receiver.getCredit() < CREDIT / 2) {
                receiver.addCredit(CREDIT - receiver.getCredit());
            }
        }
    }
}
