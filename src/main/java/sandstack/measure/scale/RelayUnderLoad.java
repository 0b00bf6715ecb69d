package sandstack.measure.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import sandstack.measure.RelayProcess;
import sandstack.measure.Testbed;
import sandstack.standin.FeedServer;
import sandstack.standin.Machine;
import sandstack.standin.StandInLoop;

/**
 * One real relay process with two stand-in feed servers and a pool of clients; the stand-ins share one thread of this
 * process. Closing it resets all connections first, so that no port stays busy for a minute.
 */
final class RelayUnderLoad implements AutoCloseable {
    /** A heap that no measured number of connections fills; compiler and collector are those of {@code run}. */
    static final List<String> LARGE_MEMORY_OPTIONS =
            List.of("-Xmx512m", "-XX:MaxDirectMemorySize=64m", LiveHeap.COMPACT_ALWAYS);

    /** Descriptors that the relay is told it has; each client takes two, and the clients' process has two as well. */
    private static final int MAX_DESCRIPTORS = 19_000;

    private static final int MAX_SETUPS_IN_FLIGHT = 32;
    private static final long SETTLE_TIMEOUT_MILLIS = 90_000;
    private static final long POLL_MILLIS = 5;
    private static final long RESET_MILLIS = 200;

    private final Testbed testbed;
    private final RelayProcess relay;
    private final ClientPool clients;

    /**
     * Starts a relay and one feed server.
     *
     * @param options of the relay's virtual machine, after those of {@code run}
     */
    RelayUnderLoad(Path jar, List<String> options) throws IOException {
        testbed = new Testbed(MAX_DESCRIPTORS);
        try {
            testbed.addFeedServer("box", 1, Machine.IDLE);
            testbed.addFeedServer("box", 1, Machine.IDLE);
            testbed.startRelays(jar, 1, Map.of(), options);
        } catch (IOException | RuntimeException e) {
            testbed.close();
            throw e;
        }
        relay = testbed.relays().get(0);
        clients = new ClientPool(testbed.loop(), relay.port());
    }

    StandInLoop loop() {
        return testbed.loop();
    }

    RelayProcess relay() {
        return relay;
    }

    ClientPool clients() {
        return clients;
    }

    List<FeedServer> feedServers() {
        return testbed.servers();
    }

    ProcessUsage usage() throws IOException {
        return ProcessUsage.of(relay.pid());
    }

    /** Connects and disconnects so many once, so that the relay's code is compiled before anything is measured. */
    void warmUp(int connections) throws InterruptedException {
        growTo(connections);
        loop().run(() -> clients.resetOldest(connections));
        pause(RESET_MILLIS);
    }

    /** Grows until so many stand or the relay takes no more; returns what had happened by then. */
    ClientPool.Counts growTo(int connections) throws InterruptedException {
        loop().run(() -> clients.growTo(connections, MAX_SETUPS_IN_FLIGHT));
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SETTLE_TIMEOUT_MILLIS);
        while (!loop().on(clients::isSettled) && System.nanoTime() < deadlineNanos) {
            pause(POLL_MILLIS);
        }
        return loop().on(clients::counts);
    }

    /**
     * The same where all have to stand.
     *
     * @throws IllegalStateException where they do not: nothing measured with fewer would be true of so many
     */
    void establish(int connections) throws InterruptedException {
        ClientPool.Counts counts = growTo(connections);
        if (counts.established() < connections) {
            throw new IllegalStateException("of " + connections + " connections there are " + counts);
        }
    }

    static void pause(long millis) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(millis);
    }

    @Override
    public void close() {
        try {
            loop().run(() -> feedServers().forEach(FeedServer::kill));
            pause(RESET_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            testbed.close();
        }
    }
}
