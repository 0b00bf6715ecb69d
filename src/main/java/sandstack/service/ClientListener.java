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
 * Opens the listener for the platform's clients once the relay can serve them. Constructed and opened on the starting
 * thread; everything else runs on the event loop's thread.
 */
final class ClientListener {
    /** A process that inherits its clients' socket waits so long for discovery before it serves by an older list. */
    private static final long MAX_LIST_WAIT_MICROS = 1_000_000;

    private static final long POLL_INTERVAL_MICROS = 20_000;
    /** What the platform's protocol is called in the log and at the console. */
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

    /** The waits for a list count from now on. */
    void beginStart() {
        startedAtMicros = loop.nowMicros();
    }

    /** Why this process cannot serve now; null where it can. */
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
     * Opens the listener, where the settings ask for it after the first list; returns its port.
     *
     * @param firstListTimeoutMicros how long a first list from discovery is waited for, in microseconds; 0 not to wait
     */
    int open(Address address, LongSupplier firstListTimeoutMicros) throws InvalidConfigurationException, IOException {
        if (firstListTimeoutMicros.getAsLong() > 0) {
            CountDownLatch listed = new CountDownLatch(1);
            loop.execute(() -> pollForFirstList(listed, firstListTimeoutMicros));
            ServiceLifecycle.await(listed);
        }
        int port = listeners.open(PROTOCOL, address, front::listen);
        accepting = true;
        return port;
    }

    private void pollForFirstList(CountDownLatch listed, LongSupplier timeoutMicros) {
        if (relay.endpoints().hasDiscoveryList() || loop.nowMicros() - startedAtMicros >= timeoutMicros.getAsLong()) {
            listed.countDown();
        } else {
            relay.deadlines()
                    .schedule(loop.nowMicros() + POLL_INTERVAL_MICROS, () -> pollForFirstList(listed, timeoutMicros));
        }
    }

    /**
     * Accepts at the inherited socket once this process can serve: a sibling process serves there meanwhile, and a
     * client that was accepted too early would wait longer here.
     */
    void acceptInheritedWhenReady(SiblingHandover handover) {
        long sinceStartMicros = loop.nowMicros() - startedAtMicros;
        boolean listed = relay.endpoints().hasDiscoveryList()
                || handover.hasSiblingList()
                || sinceStartMicros >= MAX_LIST_WAIT_MICROS;
        // the process that serves has to see this one first, and give up its part of the descriptors
        boolean unseen =
                handover.processCount() > 1 && sinceStartMicros < 2 * SiblingProcesses.HEARTBEAT_INTERVAL_MICROS;
        if (!relay.endpoints().hasReadyServer() || !listed || unseen) {
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
            listeners.inherited(PROTOCOL, port);
        } catch (IOException e) {
            LOG.severe("inherited socket unusable cause=\"" + e.getMessage() + "\"");
        }
    }

    /** Leaves clients that wait at the inherited socket to the sibling processes. */
    void pauseAccepting() {
        if (!accepting) {
            return;
        }
        try {
            front.pauseAccepting();
        } catch (IOException e) {
            LOG.warning("accepting not paused cause=\"" + e.getMessage() + "\"");
        }
    }
}
