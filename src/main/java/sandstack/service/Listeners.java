package sandstack.service;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Logger;
import sandstack.config.InvalidConfigurationException;
import sandstack.config.PlatformConfig.Address;
import sandstack.net.EventLoop;

/** The addresses at which this relay listens, with what each accepts. */
final class Listeners {
    /** Opens a front's listening socket. */
    interface ListenCall {
        /** Returns the port, which the system has chosen where 0 was given. */
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
     * Opens a listener; returns its port. Does not return where the process has been told to stop.
     *
     * @throws InvalidConfigurationException where the address cannot be listened at
     */
    int open(String protocol, Address address, ListenCall front) throws InvalidConfigurationException, IOException {
        if (!lifecycle.tryServe()) {
            ServiceLifecycle.awaitEndOfProcess();
        }
        int port;
        try {
            port = front.listen(address.host(), address.port());
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

    /** A listener has been opened at the inherited socket. */
    void inherited(String protocol, int port) {
        descriptions.add(protocol + " at the inherited socket, port " + port);
        LOG.info("listener opened relay=" + relayName + " protocol=" + protocol + " socket=inherited port=" + port);
    }

    /** A line for each address. */
    List<String> descriptions() {
        return descriptions;
    }
}
