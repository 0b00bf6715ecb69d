package sandstack.front.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import sandstack.capacity.InstallationLimits;
import sandstack.capacity.StatedCapacities;
import sandstack.core.EffectiveSettings;
import sandstack.core.EndpointRegistry;
import sandstack.core.Relay;
import sandstack.decisions.BalancerSettings;
import sandstack.decisions.DeduplicationScope;
import sandstack.decisions.EndpointEntry;
import sandstack.decisions.EndpointListKind;
import sandstack.decisions.EndpointState;
import sandstack.decisions.Idempotency;
import sandstack.decisions.RequestClass;
import sandstack.net.ConnectionAdmission;
import sandstack.net.EventLoop;
import sandstack.net.ShortWrites;
import sandstack.settings.BalancerSettingsBuilder;

/**
 * A relay on loopback whose thread the test can pause: what arrives meanwhile is in the kernel's buffers when the
 * thread continues, regardless of the machine's speed. This makes races deterministic.
 */
final class PausableRelay implements AutoCloseable {
    /** The remote end of a connection of the relay: a client or a feed server. */
    static final class RemoteEnd implements AutoCloseable {
        final Socket socket;
        private final BufferedReader in;

        RemoteEnd(Socket socket) throws IOException {
            this.socket = socket;
            socket.setSoTimeout(20_000);
            in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        }

        void send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        }

        /** The next line; null at the end of the input. */
        String readLine() throws IOException {
            return in.readLine();
        }

        /** At a feed server: the client key of the request. */
        String key;
        /** At a feed server: its name. */
        String server;
        /** At an established client: its feed server's end. */
        RemoteEnd upstreamEnd;

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    /** Limits what the relay's sockets accept. */
    final ShortWrites writes = new ShortWrites();

    final EventLoop loop = writes.loop();
    final Relay relay;
    final ConnectionAdmission admission;
    private final int port;
    private final List<ServerSocket> servers = new ArrayList<>();
    private final BlockingQueue<RemoteEnd> upstreamConnections = new LinkedBlockingQueue<>();
    private volatile CountDownLatch released;
    private volatile BooleanSupplier pauseCondition = () -> false;
    private volatile CountDownLatch paused;
    private int ids;

    PausableRelay() throws IOException {
        BalancerSettings settings = BalancerSettingsBuilder.of(
                        List.of(cls(Idempotency.IDEMPOTENT), cls(Idempotency.NOT_IDEMPOTENT)))
                .endpointListPolled(true)
                .pollIntervalMicros(10_000_000)
                .connectTimeoutMicros(100_000)
                .maxRetryAfterMicros(1_500_000)
                .drainGraceMicros(300_000)
                .slowStartInitialFraction(0.13)
                .slowStartDurationMicros(23_000_000)
                .overloadMultiple(3)
                .overloadWindowMicros(1_500_000)
                .build();
        relay = new Relay(
                new EffectiveSettings(settings, List.of("safe", "unsafe"), false),
                StatedCapacities.NONE,
                InstallationLimits.NONE,
                5,
                loop::nowMicros,
                () -> {});
        admission = new ConnectionAdmission(loop, relay.deadlines(), 40);
        loop.start(this::turn, relay::nextTurnMicros);
        port = new PlatformFront(loop, relay, admission).listen("127.0.0.1", 0);
    }

    private static RequestClass cls(Idempotency repeat) {
        return new RequestClass(320_000, 2_000_000, 1, repeat, DeduplicationScope.ALL, 0, 0);
    }

    private void turn() {
        relay.runTurn();
        if (pauseCondition.getAsBoolean()) {
            pauseCondition = () -> false;
            // before the next turn, after the sockets have been selected
            loop.execute(this::pauseUntilReleased);
        }
    }

    private void pauseUntilReleased() {
        CountDownLatch release = released;
        paused.countDown();
        try {
            release.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Starts a feed server and adds it to the endpoint list. */
    void addServer() throws Exception {
        ServerSocket listening = new ServerSocket(0, 50, LOOPBACK);
        servers.add(listening);
        String name = "s" + servers.size();
        Thread accepting = new Thread(() -> accept(listening, name));
        accepting.setDaemon(true);
        accepting.start();
        onLoop(() -> relay.onEndpointList(new EndpointRegistry.Update(
                EndpointListKind.DELTA, servers.size(), List.of(endpoint(servers.size(), EndpointState.READY)))));
    }

    /** The list entry of the n-th feed server, from 1. */
    EndpointRegistry.Endpoint endpoint(int server, EndpointState phase) {
        return new EndpointRegistry.Endpoint(
                new EndpointEntry("s" + server, 0, 0, 0, 0, phase, 1),
                "127.0.0.1",
                servers.get(server - 1).getLocalPort());
    }

    private void accept(ServerSocket listening, String name) {
        try {
            while (true) {
                RemoteEnd way = new RemoteEnd(listening.accept());
                way.server = name;
                upstreamConnections.add(way);
            }
        } catch (IOException e) {
            // the test is over
        }
    }

    /** The next connection to a feed server, unread. */
    RemoteEnd nextUpstreamConnection() throws Exception {
        RemoteEnd way = upstreamConnections.poll(20, TimeUnit.SECONDS);
        assertThat(way).as("a connection to a feed server").isNotNull();
        return way;
    }

    /** The next request that reaches a feed server. */
    RemoteEnd nextUpstreamRequest() throws Exception {
        RemoteEnd ask = nextUpstreamConnection();
        String line = ask.readLine();
        assertThat(line).startsWith("OPEN ");
        ask.key = line.split(" ", 0)[2];
        return ask;
    }

    /** Whether all connections to feed servers have been taken by the test. */
    boolean noUpstreamRequest() {
        return upstreamConnections.isEmpty();
    }

    RemoteEnd client() throws IOException {
        return new RemoteEnd(new Socket(LOOPBACK, port));
    }

    /** The line of a request with this key and a new id. */
    String openLine(String key, String cls, int millis) {
        return "OPEN id" + ++ids + " " + key + " c=" + cls + ",d=" + millis + "\r\n";
    }

    /** Pauses the relay's thread before its next turn. */
    void pause() throws InterruptedException {
        arm();
        loop.execute(this::pauseUntilReleased);
        awaitPaused();
    }

    /** Pauses it after the next turn that leaves the relay in this state. */
    void pauseWhen(BooleanSupplier left) {
        arm();
        pauseCondition = left;
    }

    private void arm() {
        paused = new CountDownLatch(1);
        released = new CountDownLatch(1);
    }

    void awaitPaused() throws InterruptedException {
        assertThat(paused.await(20, TimeUnit.SECONDS))
                .as("the relay's thread is paused")
                .isTrue();
    }

    /** Lets it continue once its next deadline has passed. */
    void releaseWhenDue() {
        // its thread is paused, so that the deadlines do not change
        while (loop.nowMicros() <= relay.deadlines().nextMicros()) {
            LockSupport.parkNanos(100_000);
        }
        release();
    }

    void release() {
        released.countDown();
    }

    void onLoop(Runnable what) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        loop.execute(() -> {
            what.run();
            done.complete(null);
        });
        done.get(20, TimeUnit.SECONDS);
    }

    /** Waits until the relay is in this state, read on its own thread. */
    void awaitOnLoop(BooleanSupplier state) throws Exception {
        AtomicBoolean is = new AtomicBoolean();
        for (long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20); !is.get(); ) {
            assertThat(System.nanoTime()).as("until the relay is as awaited").isLessThan(end);
            onLoop(() -> is.set(state.getAsBoolean()));
        }
    }

    @Override
    public void close() throws IOException {
        if (released != null) {
            released.countDown();
        }
        loop.stop();
        for (ServerSocket server : servers) {
            server.close();
        }
    }
}
