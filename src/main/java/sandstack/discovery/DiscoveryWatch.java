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
 * Watches discovery's endpoint list over HTTP. Each poll opens one watch; a watch that ends, fails or falls silent is
 * reported to the relay, whose load balancer decides when to poll again. Discovery may get another address meanwhile.
 * Used on the event loop's thread only.
 */
public final class DiscoveryWatch {
    private static final Logger LOG = Logger.getLogger("sandstack.discovery");
    /** The reason may quote what discovery sent. */
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
    /** After a change of the address, the watch at the one before; null once the new one has sent its list. */
    private Watch previousWatch;
    /** Whether the version of the list comes from this address: versions of two addresses are not comparable. */
    private boolean versionKnownHere = true;

    /** Creates a watch on this address, which is not connected to before {@link #poll}. */
    public DiscoveryWatch(EventLoop loop, Relay relay, Address discovery, EndpointListJson listFormat) {
        this.loop = loop;
        this.relay = relay;
        this.discovery = discovery;
        this.listFormat = listFormat;
    }

    /** Opens a watch on what changes from the current list on, unless one is open. */
    public void poll() {
        if (watch == null) {
            watch = new Watch();
            watch.start();
        }
    }

    /**
     * Watches at another address from now on. The list stays as it is, and the watch before remains in use until the
     * new one has sent the complete list.
     */
    public void switchTo(Address address) {
        if (address.equals(discovery)) {
            return;
        }
        LOG.info("discovery address changed from=" + discovery + " to=" + address);
        discovery = address;
        versionKnownHere = false;
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

    /** One HTTP request and the stream that answers it. */
    private final class Watch extends BaseFilter implements EventLoop.DialListener {
        private final JsonObjectStream stream = new JsonObjectStream();
        private EventLoop.PendingConnect connecting;
        private Connection<?> connection;
        private DeadlineScheduler.Deadline silenceTimer;
        /** Expires where a list that has begun is not completed; null where none has begun. */
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
            long fromVersion = versionKnownHere ? relay.endpoints().version() : -1;
            HttpRequestPacket request = HttpRequestPacket.builder()
                    .method(Method.GET)
                    .protocol(Protocol.HTTP_1_1)
                    .uri("/registry/instances")
                    .query("watch=1" + (fromVersion < 0 ? "" : "&from=" + fromVersion))
                    .header("Host", discovery.toString())
                    .build();
            // the silence timer ends a watch whose request was not written
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

        /** Passes on each complete object, however it was formatted and split; anything else ends the watch. */
        private void handleBytes(byte[] received) {
            try {
                for (JsonNode object : stream.feed(received)) {
                    if (closed) {
                        return;
                    }
                    EndpointRegistry.Update update = listFormat.readUpdate(object);
                    if (this == watch) {
                        versionKnownHere = true;
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
         * An incomplete list is no sign of life, however often a piece of it comes: its updates are as late as in
         * silence.
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
                // the previous address closes its watches: the new one is being polled already
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
