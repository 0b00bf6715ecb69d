package sandstack.measure.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import sandstack.measure.RelayProcess;
import sandstack.measure.Testbed;
import sandstack.testserver.FakeFeedServer;
import sandstack.testserver.ServerProfile;
import sandstack.testserver.TestServerLoop;

/**
 * One relay process with two stand-in feed servers and a pool of clients, which share one thread of this process.
 * Closing resets all connections, so that no port stays in TIME_WAIT.
 */
final class RelayUnderLoad implements AutoCloseable {
    /** JVM options with more heap than any measured number of connections needs. */
    static final List<String> LARGE_MEMORY_OPTIONS =
            List.of("-Xmx512m", "-XX:MaxDirectMemorySize=64m", LiveHeap.COMPACT_ALWAYS);

    /**
     * File descriptor limit in the relay's configuration. Each connection takes two in the relay and two in this
     * process.
     */
    private static final int MAX_DESCRIPTORS = 19_000;

    private static final int MAX_SETUPS_IN_FLIGHT = 32;
    private static final long SETTLE_TIMEOUT_MILLIS = 90_000;
    private static final long POLL_MILLIS = 5;
    private static final long RESET_MILLIS = 200;

    private final Testbed testbed;
    private final RelayProcess relay;
    private final ClientPool clients;

    /**
     * Starts a relay and two feed servers.
     *
     * @param options JVM options, appended to those of the {@code run} command
     */
    RelayUnderLoad(Path jar, List<String> options) throws IOException {
        testbed = new Testbed(MAX_DESCRIPTORS);
        try {
            testbed.addFeedServer("box", 1, ServerProfile.UNLIMITED);
            testbed.addFeedServer("box", 1, ServerProfile.UNLIMITED);
            testbed.startRelays(jar, 1, Map.of(), options);
        } catch (IOException | RuntimeException e) {
            testbed.close();
            throw e;
        }
        relay = testbed.relays().get(0);
        clients = new ClientPool(testbed.loop(), relay.port());
    }

    TestServerLoop loop() {
        return testbed.loop();
    }

    RelayProcess relay() {
        return relay;
    }

    ClientPool clients() {
        return clients;
    }

    List<FakeFeedServer> feedServers() {
        return testbed.servers();
    }

    ProcessUsage usage() throws IOException {
        return ProcessUsage.of(relay.pid());
    }

    /**
     * Connects and resets {@code connections} clients, so that the relay's code is JIT-compiled before measurements.
     */
    void warmUp(int connections) throws InterruptedException {
        growTo(connections);
        loop().run(() -> clients.resetOldest(connections));
        pause(RESET_MILLIS);
    }

    /**
     * Connects clients until {@code connections} are established or the relay accepts no more; returns the counters.
     */
    ClientPool.Counts growTo(int connections) throws InterruptedException {
        loop().run(() -> clients.growTo(connections, MAX_SETUPS_IN_FLIGHT));
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SETTLE_TIMEOUT_MILLIS);
        while (!loop().call(clients::isSettled) && System.nanoTime() < deadlineNanos) {
            pause(POLL_MILLIS);
        }
        return loop().call(clients::counts);
    }

    /**
     * Connects clients until {@code connections} are established.
     *
     * @throws IllegalStateException if the relay accepts fewer
     */
    void establish(int connections) throws InterruptedException {
        ClientPool.Counts counts = growTo(connections);
        if (counts.established() < connections) {
            throw new IllegalStateException("expected " + connections + " established connections: " + counts);
        }
    }

    static void pause(long millis) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(millis);
    }

    @Override
    public void close() {
        try {
            loop().run(() -> feedServers().forEach(FakeFeedServer::kill));
            pause(RESET_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            testbed.close();
        }
    }
}
