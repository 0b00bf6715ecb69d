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
 * A relay on loopback whose one thread the test can hold: what happens meanwhile lies in the kernel when it goes on, all at
 * once and whatever the machine does. So a crossing is made, not hoped for.
 */
final class HeldRelay implements AutoCloseable {
    /** The other end of a connection of the relay's: a client, or a feed server that was asked. */
    static final class End implements AutoCloseable {
        final Socket socket;
        private final BufferedReader in;

        End(Socket socket) throws IOException {
            this.socket = socket;
            socket.setSoTimeout(20_000);
            in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        }

        void say(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        }

        /** The next line; null at the end. */
        String hear() throws IOException {
            return in.readLine();
        }

        /** Of a request: its second word. */
        String key;
        /** Of a connection to a feed server: which. */
        String at;
        /** Of a client that stands: its feed server's end. */
        End other;

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

    /** What the relay's sockets take. */
    final ShortWrites writes = new ShortWrites();

    final EventLoop loop = writes.loop();
    final Relay relay;
    final ConnectionAdmission lobby;
    private final int port;
    private final List<ServerSocket> servers = new ArrayList<>();
    private final BlockingQueue<End> asked = new LinkedBlockingQueue<>();
    private volatile CountDownLatch released;
    private volatile BooleanSupplier holdWhen = () -> false;
    private volatile CountDownLatch stands;
    private int ids;

    HeldRelay() throws IOException {
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
        lobby = new ConnectionAdmission(loop, relay.deadlines(), 40);
        loop.start(this::turn, relay::nextTurnMicros);
        port = new PlatformFront(loop, relay, lobby).listen("127.0.0.1", 0);
    }

    private static RequestClass cls(Idempotency repeat) {
        return new RequestClass(320_000, 2_000_000, 1, repeat, DeduplicationScope.ALL, 0, 0);
    }

    private void turn() {
        relay.runTurn();
        if (holdWhen.getAsBoolean()) {
            holdWhen = () -> false;
            // before the next turn, as a relay is held up that has looked at its sockets already
            loop.execute(this::stand);
        }
    }

    private void stand() {
        CountDownLatch release = released;
        stands.countDown();
        try {
            release.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** A feed server that the relay knows of from now on. */
    void server() throws Exception {
        ServerSocket listening = new ServerSocket(0, 50, LOOPBACK);
        servers.add(listening);
        String name = "s" + servers.size();
        Thread accepting = new Thread(() -> accept(listening, name));
        accepting.setDaemon(true);
        accepting.start();
        onLoop(() -> relay.onEndpointList(new EndpointRegistry.Update(
                EndpointListKind.DELTA, servers.size(), List.of(line(servers.size(), EndpointState.READY)))));
    }

    /** A line of the list for a feed server that this has made, from 1. */
    EndpointRegistry.Endpoint line(int server, EndpointState phase) {
        return new EndpointRegistry.Endpoint(
                new EndpointEntry("s" + server, 0, 0, 0, 0, phase, 1),
                "127.0.0.1",
                servers.get(server - 1).getLocalPort());
    }

    private void accept(ServerSocket listening, String name) {
        try {
            while (true) {
                End way = new End(listening.accept());
                way.at = name;
                asked.add(way);
            }
        } catch (IOException e) {
            // the test is over
        }
    }

    /** The next connection to a feed server, nothing of which has been read. */
    End way() throws Exception {
        End way = asked.poll(20, TimeUnit.SECONDS);
        assertThat(way).as("a connection to a feed server").isNotNull();
        return way;
    }

    /** The next request that reaches a feed server. */
    End ask() throws Exception {
        End ask = way();
        String line = ask.hear();
        assertThat(line).startsWith("OPEN ");
        ask.key = line.split(" ", 0)[2];
        return ask;
    }

    /** Whether no connection has reached a feed server that has not been looked at. */
    boolean noAsk() {
        return asked.isEmpty();
    }

    End client() throws IOException {
        return new End(new Socket(LOOPBACK, port));
    }

    /** The line of a request with this key, which the feed server will name. */
    String open(String key, String cls, int millis) {
        return "OPEN id" + ++ids + " " + key + " c=" + cls + ",d=" + millis + "\r\n";
    }

    /** Holds the relay's thread before its next turn. */
    void hold() throws InterruptedException {
        arm();
        loop.execute(this::stand);
        awaitHeld();
    }

    /** Holds it after the first turn from now on that leaves the relay like this. */
    void holdWhen(BooleanSupplier left) {
        arm();
        holdWhen = left;
    }

    private void arm() {
        stands = new CountDownLatch(1);
        released = new CountDownLatch(1);
    }

    void awaitHeld() throws InterruptedException {
        assertThat(stands.await(20, TimeUnit.SECONDS))
                .as("the relay's thread is held")
                .isTrue();
    }

    /** Lets it go on once its next deadline has passed. */
    void releaseWhenDue() {
        // its thread stands: nobody else touches the deadlines
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

    /** Waits until the relay is like this, seen on its own thread. */
    void untilOnLoop(BooleanSupplier state) throws Exception {
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
