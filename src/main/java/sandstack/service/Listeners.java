package sandstack.service;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Logger;
import sandstack.config.InvalidConfigurationException;
import sandstack.config.PlatformConfig.Address;
import sandstack.net.EventLoop;

/**
 * Opens the relay's listeners, and records their addresses and protocols. Listeners are opened on the starting thread;
 * the inherited socket is recorded, and the descriptions are read, on the event loop's thread.
 */
final class Listeners {
    /** A front's method that opens its listening socket. */
    interface ListenCall {
        /** Returns the bound port; if {@code port} is 0, the operating system chooses it. */
        int listen(String host, int port) throws IOException;
    }

    private static final Logger LOG = Logger.getLogger("sandstack.service");

    private final String relayName;
    private final ServiceLifecycle lifecycle;
    private final EventLoop loop;
    private final List<String> descriptions = new ArrayList<>();

    Listeners(String relayName, ServiceLifecycle lifecycle, EventLoop loop) {
        this.relayName = relayName;
        this.lifecycle = lifecycle;
        this.loop = loop;
    }

    /**
     * Opens a listener and returns its port. If the process is stopping already, blocks until it ends.
     *
     * @throws InvalidConfigurationException if the address cannot be bound
     */
    int open(String protocol, Address address, ListenCall listenCall)
            throws InvalidConfigurationException, IOException {
        if (!lifecycle.tryServe()) {
            ServiceLifecycle.awaitEndOfProcess();
        }
        int port;
        try {
            port = listenCall.listen(address.host(), address.port());
        } catch (IOException e) {
            if (lifecycle.abortStart()) {
                loop.stop();
            }
            throw new InvalidConfigurationException("cannot listen at " + address + ": " + e.getMessage());
        }
        String boundAddress = new Address(address.host(), port).toString();
        descriptions.add(protocol + " at " + boundAddress);
        LOG.info("listener opened relay=" + relayName + " protocol=" + protocol + " address=" + boundAddress);
        return port;
    }

    /** Records that the inherited socket is served. */
    void inheritedSocketOpened(String protocol, int port) {
        descriptions.add(protocol + " at the inherited socket, port " + port);
        LOG.info("listener opened relay=" + relayName + " protocol=" + protocol + " socket=inherited port=" + port);
    }

    /** One line per listener for the console: protocol and address. */
    List<String> descriptions() {
        return descriptions;
    }
}
