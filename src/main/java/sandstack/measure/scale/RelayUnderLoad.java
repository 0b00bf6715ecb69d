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
    static final List<String> ROOMY = List.of("-Xmx512m", "-XX:MaxDirectMemorySize=64m", LiveHeap.COMPACT_ALWAYS);

    /** Descriptors that the relay is told it has; each client takes two, and the clients' process has two as well. */
    private static final int DESCRIPTORS = 19_000;

    private static final int IN_FLIGHT = 32;
    private static final long SETTLES_WITHIN_MILLIS = 90_000;
    private static final long POLL_MILLIS = 5;
    private static final long RESET_MILLIS = 200;

    private final Testbed site;
    private final RelayProcess relay;
    private final ClientPool clients;

    /**
     * Starts a relay and one feed server.
     *
     * @param options of the relay's virtual machine, after those of {@code run}
     */
    RelayUnderLoad(Path jar, List<String> options) throws IOException {
        site = new Testbed(DESCRIPTORS);
        try {
            site.addFeedServer("box", 1, Machine.IDLE);
            site.addFeedServer("box", 1, Machine.IDLE);
            site.startRelays(jar, 1, Map.of(), options);
        } catch (IOException | RuntimeException e) {
            site.close();
            throw e;
        }
        relay = site.relays().get(0);
        clients = new ClientPool(site.loop(), relay.port());
    }

    StandInLoop yard() {
        return site.loop();
    }

    RelayProcess relay() {
        return relay;
    }

    ClientPool clients() {
        return clients;
    }

    List<FeedServer> feedServers() {
        return site.servers();
    }

    ProcessUsage usage() throws IOException {
        return ProcessUsage.of(relay.pid());
    }

    /** Connects and disconnects so many once, so that the relay's code is compiled before anything is measured. */
    void warmUp(int connections) throws InterruptedException {
        growTo(connections);
        yard().run(() -> clients.abort(connections));
        pause(RESET_MILLIS);
    }

    /** Grows until so many stand or the relay takes no more; returns what had happened by then. */
    ClientPool.Count growTo(int connections) throws InterruptedException {
        yard().run(() -> clients.growTo(connections, IN_FLIGHT));
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SETTLES_WITHIN_MILLIS);
        while (!yard().on(clients::settled) && System.nanoTime() < until) {
            pause(POLL_MILLIS);
        }
        return yard().on(clients::count);
    }

    /**
     * The same where all have to stand.
     *
     * @throws IllegalStateException where they do not: nothing measured with fewer would be true of so many
     */
    void standUp(int connections) throws InterruptedException {
        ClientPool.Count count = growTo(connections);
        if (count.standing() < connections) {
            throw new IllegalStateException("of " + connections + " connections there are " + count);
        }
    }

    static void pause(long millis) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(millis);
    }

    @Override
    public void close() {
        try {
            yard().run(() -> feedServers().forEach(FeedServer::kill));
            pause(RESET_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            site.close();
        }
    }
}
