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
 * A relay on loopback whose event loop the test can pause. What arrives during the pause is in the kernel's buffers
 * when the loop continues, regardless of the machine's speed, which makes races deterministic.
 */
final class PausableRelay implements AutoCloseable {
    /** The remote end of one of the relay's connections: a client or a feed server. */
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

        /** The client key of the request that a feed server has received; null at a client. */
        String clientKey;
        /** The id of the feed server; null at a client. */
        String serverId;
        /** The feed server's end of the same connection; null unless this is an established client. */
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

    /** Limits how many bytes the relay's sockets accept, or makes their writes fail. */
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
    private int lastRequestId;

    PausableRelay() throws IOException {
        BalancerSettings settings = BalancerSettingsBuilder.of(
                        List.of(requestClass(Idempotency.IDEMPOTENT), requestClass(Idempotency.NOT_IDEMPOTENT)))
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

    private static RequestClass requestClass(Idempotency idempotency) {
        return new RequestClass(320_000, 2_000_000, 1, idempotency, DeduplicationScope.ALL, 0, 0);
    }

    private void turn() {
        relay.runTurn();
        if (pauseCondition.getAsBoolean()) {
            pauseCondition = () -> false;
            // executed before the next turn, after the selector has reported the sockets that are ready
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

    /** Starts a feed server, which only accepts connections, and adds it to the endpoint list. */
    void addServer() throws Exception {
        ServerSocket listening = new ServerSocket(0, 50, LOOPBACK);
        servers.add(listening);
        String serverId = "s" + servers.size();
        Thread accepting = new Thread(() -> accept(listening, serverId));
        accepting.setDaemon(true);
        accepting.start();
        onLoop(() -> relay.onEndpointList(new EndpointRegistry.Update(
                EndpointListKind.DELTA, servers.size(), List.of(endpoint(servers.size(), EndpointState.READY)))));
    }

    /** The list entry of the feed server with this number, counted from 1, in the given state. */
    EndpointRegistry.Endpoint endpoint(int serverNumber, EndpointState state) {
        return new EndpointRegistry.Endpoint(
                new EndpointEntry("s" + serverNumber, 0, 0, 0, 0, state, 1),
                "127.0.0.1",
                servers.get(serverNumber - 1).getLocalPort());
    }

    private void accept(ServerSocket listening, String serverId) {
        try {
            while (true) {
                RemoteEnd connection = new RemoteEnd(listening.accept());
                connection.serverId = serverId;
                upstreamConnections.add(connection);
            }
        } catch (IOException e) {
            // close() has closed the listening socket
        }
    }

    /** Waits for the next connection to any feed server, and reads nothing from it. */
    RemoteEnd nextUpstreamConnection() throws Exception {
        RemoteEnd connection = upstreamConnections.poll(20, TimeUnit.SECONDS);
        assertThat(connection)
                .as("the relay connects to a feed server within 20 s")
                .isNotNull();
        return connection;
    }

    /** Waits for the next connection to any feed server, and reads the request line from it. */
    RemoteEnd nextUpstreamRequest() throws Exception {
        RemoteEnd connection = nextUpstreamConnection();
        String line = connection.readLine();
        assertThat(line).startsWith("OPEN ");
        connection.clientKey = line.split(" ", 0)[2];
        return connection;
    }

    /** Whether there is no connection to a feed server beyond those that the test has taken. */
    boolean noUpstreamRequest() {
        return upstreamConnections.isEmpty();
    }

    RemoteEnd client() throws IOException {
        return new RemoteEnd(new Socket(LOOPBACK, port));
    }

    /** A request line with a new request id. */
    String openLine(String clientKey, String className, int deadlineMillis) {
        return "OPEN id" + ++lastRequestId + " " + clientKey + " c=" + className + ",d=" + deadlineMillis + "\r\n";
    }

    /** Pauses the event loop before its next turn, and waits until it is paused. */
    void pause() throws InterruptedException {
        preparePause();
        loop.execute(this::pauseUntilReleased);
        awaitPaused();
    }

    /** Makes the event loop pause after the next turn at whose end the condition holds. Returns at once. */
    void pauseWhen(BooleanSupplier condition) {
        preparePause();
        pauseCondition = condition;
    }

    private void preparePause() {
        paused = new CountDownLatch(1);
        released = new CountDownLatch(1);
    }

    void awaitPaused() throws InterruptedException {
        assertThat(paused.await(20, TimeUnit.SECONDS))
                .as("the event loop pauses within 20 s")
                .isTrue();
    }

    /** Lets the event loop continue once the relay's next deadline has passed. */
    void releaseWhenDue() {
        // the deadlines do not change meanwhile, because the event loop is paused
        while (loop.nowMicros() <= relay.deadlines().nextMicros()) {
            LockSupport.parkNanos(100_000);
        }
        release();
    }

    /** Lets the event loop continue now. */
    void release() {
        released.countDown();
    }

    /** Runs a task on the event loop's thread, and waits until it has run. */
    void onLoop(Runnable task) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        loop.execute(() -> {
            task.run();
            done.complete(null);
        });
        done.get(20, TimeUnit.SECONDS);
    }

    /** Waits until the condition holds, which is evaluated on the event loop's thread. */
    void awaitOnLoop(BooleanSupplier condition) throws Exception {
        AtomicBoolean holds = new AtomicBoolean();
        for (long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20); !holds.get(); ) {
            assertThat(System.nanoTime()).as("the condition holds within 20 s").isLessThan(end);
            onLoop(() -> holds.set(condition.getAsBoolean()));
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
