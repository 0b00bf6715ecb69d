package sandstack.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.logging.Logger;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Method;
import org.glassfish.grizzly.http.Protocol;
import sandstack.concurrent.Futures;
import sandstack.config.EndpointListJson;
import sandstack.config.InvalidConfigurationException;
import sandstack.config.PlatformConfig.Address;
import sandstack.core.DeadlineScheduler;
import sandstack.core.EndpointRegistry;
import sandstack.core.Relay;
import sandstack.net.EventLoop;
import sandstack.staleness.EndpointListStaleness;

/**
 * Watches discovery's endpoint list over HTTP. Each poll opens one watch: a request whose response streams updates. A
 * watch that ends, fails or receives no data for too long is reported to the relay, whose load balancer decides when to
 * poll again. {@link #switchTo} changes discovery's address at any time. Used on the event loop's thread only.
 */
public final class DiscoveryWatch {
    private static final Logger LOG = Logger.getLogger("sandstack.discovery");
    /** Limits the logged reason, which may quote data from discovery. */
    private static final int MAX_LOGGED_REASON_LENGTH = 80;

    private static final String SILENCE_REASON =
            "no data for " + EndpointListStaleness.WATCH_SILENCE_TIMEOUT_MICROS / 1e6 + " s";
    private static final String INCOMPLETE_LIST_REASON =
            "list incomplete for " + EndpointListStaleness.WATCH_SILENCE_TIMEOUT_MICROS / 1e6 + " s";

    private final EventLoop loop;
    private final Relay relay;
    private final EndpointListJson listFormat;
    private Address discovery;
    private Watch watch;
    /**
     * After a change of the address, the watch that was open before it, kept through further changes; null once the
     * current address has sent its list.
     */
    private Watch previousWatch;
    /** Whether the list's version comes from the current address; versions of two addresses are not comparable. */
    private boolean versionFromCurrentAddress = true;
    /** The address from which the list's version comes. */
    private Address listSource;

    /** Creates a watch that connects to this address at the first {@link #poll}. */
    public DiscoveryWatch(EventLoop loop, Relay relay, Address discovery, EndpointListJson listFormat) {
        this.loop = loop;
        this.relay = relay;
        this.discovery = discovery;
        this.listSource = discovery;
        this.listFormat = listFormat;
    }

    /** The address of discovery from which the relay's list comes, as far as its version tells. */
    public Address listSource() {
        return listSource;
    }

    /** Reads and writes lists in discovery's format. */
    public EndpointListJson listFormat() {
        return listFormat;
    }

    /** Whether the list comes from the address that is watched now. */
    public boolean isListCurrent() {
        return versionFromCurrentAddress;
    }

    /** Requests the changes since the current list, unless a watch is open already. */
    public void poll() {
        if (watch == null) {
            watch = new Watch();
            watch.start();
        }
    }

    /**
     * Watches at another address from now on; no effect if the address is the current one. The list stays as it is, and
     * the previous watch remains in use until the new address has sent its list. If the address changes again before
     * that, the first watch stays in use and the second one is closed.
     */
    public void switchTo(Address address) {
        if (address.equals(discovery)) {
            return;
        }
        LOG.info("discovery address changed from=" + discovery + " to=" + address);
        discovery = address;
        versionFromCurrentAddress = false;
        if (previousWatch == null) {
            previousWatch = watch;
        } else if (watch != null) {
            watch.close();
        }
        watch = null;
        poll();
    }

    private void closePreviousWatch() {
        if (previousWatch != null) {
            previousWatch.close();
            previousWatch = null;
        }
    }

    /** One HTTP request and its streamed response. */
    private final class Watch extends BaseFilter implements EventLoop.DialListener {
        private final JsonObjectStream stream = new JsonObjectStream();
        private EventLoop.PendingConnect connecting;
        private Connection<?> connection;
        private DeadlineScheduler.Deadline silenceTimer;
        /**
         * Runs while each chunk that arrives ends within an object; null while the last chunk ended at the end of an
         * object.
         */
        private DeadlineScheduler.Deadline incompleteListTimer;

        private boolean closed;

        void start() {
            silenceTimer = relay.deadlines()
                    .schedule(
                            loop.nowMicros() + EndpointListStaleness.WATCH_SILENCE_TIMEOUT_MICROS,
                            () -> fail(SILENCE_REASON));
            FilterChain chain = FilterChainBuilder.stateless()
                    .add(new TransportFilter())
                    .add(new HttpClientFilter())
                    .add(this)
                    .build();
            connecting = loop.dial(discovery.host(), discovery.port(), chain, this);
        }

        @Override
        public void connected(Connection<?> opened) {
            connection = opened;
            relay.onEndpointListRequested();
            long fromVersion = isListCurrent() ? relay.endpoints().version() : -1;
            HttpRequestPacket request = HttpRequestPacket.builder()
                    .method(Method.GET)
                    .protocol(Protocol.HTTP_1_1)
                    .uri("/registry/instances")
                    .query("watch=1" + (fromVersion < 0 ? "" : "&from=" + fromVersion))
                    .header("Host", discovery.toString())
                    .build();
            // if the write fails, the silence timer ends the watch
            Futures.ignore(opened.write(request));
        }

        @Override
        public void failed() {
            fail("no connection");
        }

        @Override
        public NextAction handleRead(FilterChainContext context) {
            HttpContent content = context.getMessage();
            HttpResponsePacket response = (HttpResponsePacket) content.getHttpHeader();
            if (closed) {
                return context.getStopAction();
            }
            if (response.getStatus() != 200) {
                fail("status " + response.getStatus());
                return context.getStopAction();
            }
            silenceTimer.cancel();
            silenceTimer = relay.deadlines()
                    .schedule(
                            loop.nowMicros() + EndpointListStaleness.WATCH_SILENCE_TIMEOUT_MICROS,
                            () -> fail(SILENCE_REASON));
            Buffer bytes = content.getContent();
            byte[] received = new byte[bytes.remaining()];
            bytes.get(received);
            bytes.tryDispose();
            handleBytes(received);
            if (content.isLast()) {
                fail("watch ended");
            }
            return context.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext context) {
            fail("connection lost");
            return context.getInvokeAction();
        }

        /**
         * Passes each complete object to the relay, independent of its formatting and of how it is split into chunks.
         * Anything but an endpoint list ends the watch.
         */
        private void handleBytes(byte[] received) {
            try {
                for (JsonNode object : stream.feed(received)) {
                    if (closed) {
                        return;
                    }
                    EndpointRegistry.Update update = listFormat.readUpdate(object);
                    if (this == watch) {
                        versionFromCurrentAddress = true;
                        listSource = discovery;
                        closePreviousWatch();
                    }
                    relay.onEndpointList(update);
                }
                updateIncompleteListTimer();
            } catch (IOException | InvalidConfigurationException e) {
                String reason =
                        String.valueOf(e.getMessage()).lines().findFirst().orElse("");
                LOG.warning("endpoint list rejected reason=\""
                        + reason.substring(0, Math.min(MAX_LOGGED_REASON_LENGTH, reason.length())) + "\"");
                fail("malformed list");
            }
        }

        /**
         * Starts the timer when a chunk ends within an object, and stops it when a chunk ends at the end of an object.
         * Without this timer, a list that is sent in small pieces would restart the silence timer with each piece,
         * although its updates arrive as late as on a silent watch.
         */
        private void updateIncompleteListTimer() {
            if (closed || stream.hasPartialObject() == (incompleteListTimer != null)) {
                return;
            }
            if (incompleteListTimer == null) {
                incompleteListTimer = relay.deadlines()
                        .schedule(
                                loop.nowMicros() + EndpointListStaleness.WATCH_SILENCE_TIMEOUT_MICROS,
                                () -> fail(INCOMPLETE_LIST_REASON));
            } else {
                incompleteListTimer.cancel();
                incompleteListTimer = null;
            }
        }

        private void fail(String reason) {
            if (closed) {
                return;
            }
            close();
            if (this == watch) {
                watch = null;
                relay.onEndpointListFailed(reason);
            } else {
                // the watch at the previous address has ended; the new address is polled already
                previousWatch = null;
            }
        }

        void close() {
            closed = true;
            silenceTimer.cancel();
            if (incompleteListTimer != null) {
                incompleteListTimer.cancel();
            }
            if (connecting != null) {
                connecting.cancel();
            }
            if (connection != null) {
                connection.terminateSilently();
            }
        }
    }
}
