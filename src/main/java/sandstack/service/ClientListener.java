package sandstack.service;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.function.LongSupplier;
import java.util.logging.Logger;
import sandstack.config.InvalidConfigurationException;
import sandstack.config.PlatformConfig.Address;
import sandstack.core.Relay;
import sandstack.front.platform.PlatformFront;
import sandstack.handover.SiblingProcesses;
import sandstack.net.EventLoop;

/**
 * Opens the listener for the platform's clients as soon as the relay can serve them. The constructor,
 * {@link #recordStartTime} and {@link #open} are called on the starting thread, everything else on the event loop's
 * thread.
 */
final class ClientListener {
    /**
     * How long a process with an inherited socket that has got no list from a sibling process waits for an update from
     * discovery, before it serves with the list of its configuration, which may be older.
     */
    private static final long MAX_LIST_WAIT_MICROS = 1_000_000;

    private static final long POLL_INTERVAL_MICROS = 20_000;
    /** Name of the platform's protocol in the log and at the console. */
    private static final String PROTOCOL = "lines";

    private static final Logger LOG = Logger.getLogger("sandstack.service");

    private final EventLoop loop;
    private final Relay relay;
    private final PlatformFront front;
    private final Listeners listeners;
    private final ServiceLifecycle lifecycle;
    private long startedAtMicros;
    private volatile boolean accepting;

    ClientListener(EventLoop loop, Relay relay, PlatformFront front, Listeners listeners, ServiceLifecycle lifecycle) {
        this.loop = loop;
        this.relay = relay;
        this.front = front;
        this.listeners = listeners;
        this.lifecycle = lifecycle;
    }

    /** Records the time from which all waits for an endpoint list are measured. */
    void recordStartTime() {
        startedAtMicros = loop.nowMicros();
    }

    /** Why this process cannot serve clients; null if it can. */
    String notReadyReason() {
        if (relay.isDraining()) {
            return "draining";
        }
        if (!relay.endpoints().hasReadyServer()) {
            return "no feed server is listed";
        }
        return accepting ? null : "discovery has not answered yet";
    }

    /**
     * Opens the listener and returns its port; blocks before that until discovery has sent its first list or the
     * timeout has expired.
     *
     * @param firstListTimeoutMicros timeout in microseconds, read again at each check; 0 opens the listener immediately
     */
    int open(Address address, LongSupplier firstListTimeoutMicros) throws InvalidConfigurationException, IOException {
        if (firstListTimeoutMicros.getAsLong() > 0) {
            CountDownLatch firstListReceived = new CountDownLatch(1);
            loop.execute(() -> pollForFirstList(firstListReceived, firstListTimeoutMicros));
            ServiceLifecycle.await(firstListReceived);
        }
        int port = listeners.open(PROTOCOL, address, front::listen);
        accepting = true;
        return port;
    }

    private void pollForFirstList(CountDownLatch firstListReceived, LongSupplier timeoutMicros) {
        if (relay.endpoints().hasDiscoveryList() || loop.nowMicros() - startedAtMicros >= timeoutMicros.getAsLong()) {
            firstListReceived.countDown();
        } else {
            relay.deadlines()
                    .schedule(
                            loop.nowMicros() + POLL_INTERVAL_MICROS,
                            () -> pollForFirstList(firstListReceived, timeoutMicros));
        }
    }

    /**
     * Starts to accept at the inherited socket as soon as this process can serve. Until then a sibling process accepts
     * there, and a client that this process accepted too early would wait longer.
     */
    void acceptInheritedWhenReady(SiblingHandover handover) {
        long sinceStartMicros = loop.nowMicros() - startedAtMicros;
        boolean hasUsableList = relay.endpoints().hasDiscoveryList()
                || handover.hasSiblingList()
                || sinceStartMicros >= MAX_LIST_WAIT_MICROS;
        // the serving process has to read this one's marker first, and reduce its descriptor limit
        boolean unknownToSibling =
                handover.processCount() > 1 && sinceStartMicros < 2 * SiblingProcesses.HEARTBEAT_INTERVAL_MICROS;
        if (!relay.endpoints().hasReadyServer() || !hasUsableList || unknownToSibling) {
            relay.deadlines()
                    .schedule(loop.nowMicros() + POLL_INTERVAL_MICROS, () -> acceptInheritedWhenReady(handover));
            return;
        }
        if (!lifecycle.tryServe()) {
            return;
        }
        try {
            int port = front.listenOnInheritedSocket();
            accepting = true;
            listeners.inheritedSocketOpened(PROTOCOL, port);
        } catch (IOException e) {
            LOG.severe("inherited socket unusable cause=\"" + e.getMessage() + "\"");
        }
    }

    /** Stops accepting, so that sibling processes accept the clients that wait at the inherited socket. */
    void pauseAccepting() {
        if (!accepting) {
            return;
        }
        try {
            front.pauseAccepting();
        } catch (IOException e) {
            LOG.warning("pause of accepting failed cause=\"" + e.getMessage() + "\"");
        }
    }
}
