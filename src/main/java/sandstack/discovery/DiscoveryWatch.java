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
import sandstack.config.EndpointListJson;
import sandstack.config.InvalidConfigurationException;
import sandstack.config.PlatformConfig.Address;
import sandstack.core.DeadlineScheduler;
import sandstack.core.EndpointRegistry;
import sandstack.core.Relay;
import sandstack.net.EventLoop;
import sandstack.staleness.EndpointListStaleness;

/**
 * The watch on discovery. Each ask makes one watch; a watch that ends, fails or falls silent is reported to
 * the relay, whose module decides when to ask again. Discovery may move to another address meanwhile.
 */
public final class DiscoveryWatch {
    private static final Logger LOG = Logger.getLogger("sandstack.discovery");
    private static final String SILENT =
            "nothing heard for " + EndpointListStaleness.WATCH_SILENCE_TIMEOUT_MICROS / 1e6 + " s";
    private static final String ENDLESS =
            "a list has not ended for " + EndpointListStaleness.WATCH_SILENCE_TIMEOUT_MICROS / 1e6 + " s";

    private final EventLoop loop;
    private final Relay relay;
    private final EndpointListJson form;
    private Address discovery;
    private Watch watch;
    /** After a move, the watch at the address before; null once the new one has told its list. */
    private Watch earlier;
    /** Whether the name table's version is one of this address's: another's count on their own. */
    private boolean versionKnownHere = true;

    /** Creates a watch on this address, which is not asked before {@link #ask}. */
    public DiscoveryWatch(EventLoop loop, Relay relay, Address discovery, EndpointListJson form) {
        this.loop = loop;
        this.relay = relay;
        this.discovery = discovery;
        this.form = form;
    }

    /** Asks for what has changed since the list at hand, unless a watch is under way. */
    public void ask() {
        if (watch == null) {
            watch = new Watch();
            watch.start();
        }
    }

    /**
     * Watches at another address from now on. The list stays as it is, and the watch before goes on telling
     * for as long as it can, until the new one has told the whole list.
     */
    public void moveTo(Address other) {
        if (other.equals(discovery)) {
            return;
        }
        LOG.info("discovery moves from " + discovery + " to " + other);
        discovery = other;
        versionKnownHere = false;
        if (earlier == null) {
            earlier = watch;
        } else if (watch != null) {
            watch.drop();
        }
        watch = null;
        ask();
    }

    private void dropEarlier() {
        if (earlier != null) {
            earlier.drop();
            earlier = null;
        }
    }

    /** One call and what it brings. */
    private final class Watch extends BaseFilter implements EventLoop.DialListener {
        private final JsonObjectStream stream = new JsonObjectStream();
        private EventLoop.PendingConnect connecting;
        private Connection<?> connection;
        private DeadlineScheduler.Deadline silence;
        /** When a list that has begun must have ended; null where none has. */
        private DeadlineScheduler.Deadline ending;

        private boolean over;

        void start() {
            silence = relay.deadlines()
                    .schedule(
                            loop.nowMicros() + EndpointListStaleness.WATCH_SILENCE_TIMEOUT_MICROS, () -> fail(SILENT));
            FilterChain chain = FilterChainBuilder.stateless()
                    .add(new TransportFilter())
                    .add(new HttpClientFilter())
                    .add(this)
                    .build();
            connecting = loop.dial(discovery.host(), discovery.port(), chain, this);
        }

        @Override
        public void connected(Connection<?> made) {
            connection = made;
            long from = versionKnownHere ? relay.endpoints().version() : -1;
            HttpRequestPacket request = HttpRequestPacket.builder()
                    .method(Method.GET)
                    .protocol(Protocol.HTTP_1_1)
                    .uri("/registry/instances")
                    .query("watch=1" + (from < 0 ? "" : "&from=" + from))
                    .header("Host", discovery.toString())
                    .build();
            made.write(request);
        }

        @Override
        public void failed() {
            fail("no connection");
        }

        @Override
        public NextAction handleRead(FilterChainContext context) {
            HttpContent content = context.getMessage();
            HttpResponsePacket response = (HttpResponsePacket) content.getHttpHeader();
            if (over) {
                return context.getStopAction();
            }
            if (response.getStatus() != 200) {
                fail("status " + response.getStatus());
                return context.getStopAction();
            }
            silence.cancel();
            silence = relay.deadlines()
                    .schedule(
                            loop.nowMicros() + EndpointListStaleness.WATCH_SILENCE_TIMEOUT_MICROS, () -> fail(SILENT));
            Buffer bytes = content.getContent();
            byte[] heard = new byte[bytes.remaining()];
            bytes.get(heard);
            bytes.tryDispose();
            told(heard);
            if (content.isLast()) {
                fail("the watch has ended");
            }
            return context.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext context) {
            fail("the watch broke");
            return context.getInvokeAction();
        }

        /** Hands on each object that is whole, however it was laid out and cut; what is no list ends the watch. */
        private void told(byte[] heard) {
            try {
                for (JsonNode object : stream.heard(heard)) {
                    if (over) {
                        return;
                    }
                    EndpointRegistry.Update news = form.readUpdate(object);
                    if (this == watch) {
                        versionKnownHere = true;
                        dropEarlier();
                    }
                    relay.onEndpointList(news);
                }
                expectEnd();
            } catch (IOException | InvalidConfigurationException e) {
                String why = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
                LOG.warning("discovery told what cannot be read: " + why.substring(0, Math.min(80, why.length())));
                fail("unreadable");
            }
        }

        /** A list that comes drop by drop is no sign of life: its news are as late as those of a silent watch. */
        private void expectEnd() {
            if (over || stream.partial() == (ending != null)) {
                return;
            }
            if (ending == null) {
                ending = relay.deadlines()
                        .schedule(
                                loop.nowMicros() + EndpointListStaleness.WATCH_SILENCE_TIMEOUT_MICROS,
                                () -> fail(ENDLESS));
            } else {
                ending.cancel();
                ending = null;
            }
        }

        private void fail(String why) {
            if (over) {
                return;
            }
            drop();
            if (this == watch) {
                watch = null;
                relay.onEndpointListFailed(why);
            } else {
                // the address before closes its watches: the new one is asked already
                earlier = null;
            }
        }

        void drop() {
            over = true;
            silence.cancel();
            if (ending != null) {
                ending.cancel();
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
