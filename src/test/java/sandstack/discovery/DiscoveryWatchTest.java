package sandstack.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import sandstack.config.EndpointListJson;
import sandstack.config.MachineKinds;
import sandstack.config.PlatformConfig.Address;
import sandstack.core.EndpointRegistry;
import sandstack.core.Relay;
import sandstack.decisions.BalancerSettings;
import sandstack.decisions.DeduplicationScope;
import sandstack.decisions.EndpointListKind;
import sandstack.decisions.EndpointState;
import sandstack.decisions.Idempotency;
import sandstack.decisions.RequestClass;
import sandstack.net.EventLoop;
import sandstack.settings.BalancerSettingsBuilder;
import sandstack.staleness.EndpointListStaleness;

/** The watch against a discovery of the test's own. The module decides when to ask again: each failure is followed by an ask. */
class DiscoveryWatchTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final EventLoop loop = new EventLoop();
    private ServerSocket listening;
    private ServerSocket elsewhere;
    private Relay relay;
    private DiscoveryWatch watch;
    private Socket socket;

    @BeforeEach
    void start() throws Exception {
        listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        elsewhere = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        RequestClass cls =
                new RequestClass(300_000, 2_000_000, 1, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 0);
        BalancerSettings settings = BalancerSettingsBuilder.of(List.of(cls))
                .endpointListPolled(true)
                .pollIntervalMicros(60_000_000)
                .connectTimeoutMicros(100_000)
                .drainGraceMicros(300_000)
                .slowStartInitialFraction(0.13)
                .overloadMultiple(3)
                .build();
        relay = new Relay(settings, 3, loop::nowMicros, () -> watch.ask());
        watch = new DiscoveryWatch(
                loop,
                relay,
                new Address("127.0.0.1", listening.getLocalPort()),
                new EndpointListJson(List.of("home"), new MachineKinds(List.of())));
        relay.onEndpointList(new EndpointRegistry.Update(EndpointListKind.CACHED, 41, List.of()));
        loop.start(relay::runTurn, relay::nextTurnMicros);
    }

    @AfterEach
    void stop() throws IOException {
        loop.stop();
        listening.close();
        elsewhere.close();
    }

    /** Waits for the next ask; returns its request line. */
    private String ask() throws IOException {
        return ask(listening);
    }

    private String ask(ServerSocket discovery) throws IOException {
        discovery.setSoTimeout(20_000);
        socket = discovery.accept();
        BufferedReader in =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        String line = in.readLine();
        if (line == null) {
            // a connection that the watch gave up before it had asked is no ask
            return ask(discovery);
        }
        while (!in.readLine().isEmpty()) {
            continue;
        }
        return line;
    }

    private void say(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static String news(int rev, String state) {
        return "{\"rev\":" + rev + ",\"all\":false,\"targets\":[{\"uid\":\"s1\",\"endpoint\":\"127.0.0.1:9\","
                + "\"az\":\"home\",\"pod_group\":0,\"state\":\"" + state + "\",\"capacity_hint\":1,\"boot_ms\":0}]}";
    }

    private void untilPhase(EndpointState phase) throws Exception {
        EndpointState seen = null;
        for (long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10); seen != phase && System.nanoTime() < end; ) {
            CompletableFuture<EndpointState> read = new CompletableFuture<>();
            loop.execute(() -> read.complete(
                    relay.endpoints().get("s1") == null
                            ? EndpointState.GONE
                            : relay.endpoints().get("s1").entry().state()));
            seen = read.get(10, TimeUnit.SECONDS);
        }
        assertThat(seen).isEqualTo(phase);
    }

    @Test
    void takesChangesHoweverTheyAreCutAndAsksFromTheLastOne() throws Exception {
        assertThat(ask()).isEqualTo("GET /registry/instances?watch=1&from=41 HTTP/1.1");
        String line = news(42, "ready") + "\n";
        say(HEAD + chunk(line.substring(0, 30)) + chunk(line.substring(30) + "\n"));
        untilPhase(EndpointState.READY);
        say(chunk(news(43, "draining") + "\n" + news(44, "gone") + "\n"));
        untilPhase(EndpointState.GONE);
        say("0\r\n\r\n");
        assertThat(ask()).isEqualTo("GET /registry/instances?watch=1&from=44 HTTP/1.1");
    }

    @Test
    void survivesRefusalResetNonsenseAndSilence() throws Exception {
        ask();
        say("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        ask();
        socket.setSoLinger(true, 0);
        socket.close();
        ask();
        say(HEAD + chunk("not json\n"));
        ask();
        // nothing at all: a watch that is silent is replaced, as its news count as told after 6 s
        ask();
        say(HEAD + chunk(news(42, "ready") + "\n"));
        untilPhase(EndpointState.READY);
    }

    /** Read line by line, a list that is laid out for people was no list, and the watch was asked for again and again. */
    @Test
    void readsListsThatAreIndentedOverLinesAndCutAnywhere() throws Exception {
        ask();
        String laidOut =
                new ObjectMapper().readTree(news(42, "ready")).toPrettyString().replace("\n", "\r\n  ") + "\n\n";
        say(HEAD);
        for (int i = 0; i < laidOut.length(); i += 7) {
            say(chunk(laidOut.substring(i, Math.min(laidOut.length(), i + 7))));
        }
        untilPhase(EndpointState.READY);
        say(chunk(laidOut.replace("42", "43").replace("ready", "draining") + news(44, "gone")));
        untilPhase(EndpointState.GONE);
        say("0\r\n\r\n");
        assertThat(ask()).isEqualTo("GET /registry/instances?watch=1&from=44 HTTP/1.1");
    }

    /** A list that comes drop by drop kept the watch alive for good, and its news were never told. */
    @Test
    void asksAgainWhereAListDoesNotEnd() throws Exception {
        ask();
        say(HEAD + chunk(news(42, "ready").substring(0, 40)));
        Socket dripping = socket;
        Thread drops = new Thread(() -> {
            try {
                while (!Thread.currentThread().isInterrupted()) {
                    dripping.getOutputStream().write(chunk(" ").getBytes(StandardCharsets.US_ASCII));
                    Thread.sleep(100);
                }
            } catch (IOException | InterruptedException e) {
                // the watch has gone, or the test is over
            }
        });
        drops.start();
        assertThat(ask()).isEqualTo("GET /registry/instances?watch=1&from=41 HTTP/1.1");
        say(HEAD + chunk(news(42, "ready") + "\n"));
        untilPhase(EndpointState.READY);
        drops.interrupt();
    }

    /**
     * Whatever is allowed after a failed call, a change counts 6 s after discovery had it and could be reached: pauses that
     * had doubled outlasted that. The last call before the return falls silent, the one after it has to come in time.
     */
    @Test
    void isBackWithin6SecondsHoweverOftenCallsHaveFailed() throws Exception {
        for (int i = 0; i < 8; i++) {
            ask();
            say("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        }
        ask();
        long reachable = System.nanoTime();
        ask();
        say(HEAD + chunk(news(42, "draining") + "\n"));
        untilPhase(EndpointState.DRAINING);
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - reachable)).isLessThan(6_000);
    }

    private void isBackIn6SecondsAfterFallingSilent(String lastWords, int lastRev) throws Exception {
        ask();
        say(HEAD + chunk(news(42, "ready") + "\n"));
        untilPhase(EndpointState.READY);
        // alive for longer than a silent watch is kept: each empty line counts anew
        for (int i = 0; i < 5; i++) {
            say(chunk("\n"));
            TimeUnit.MICROSECONDS.sleep(EndpointListStaleness.WATCH_SILENCE_TIMEOUT_MICROS / 4);
        }
        say(lastWords);
        long silent = System.nanoTime();
        assertThat(ask()).isEqualTo("GET /registry/instances?watch=1&from=" + lastRev + " HTTP/1.1");
        say(HEAD + chunk(news(50, "gone") + "\n"));
        untilPhase(EndpointState.GONE);
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - silent))
                .as("not taken for silent before it was")
                .isBetween(
                        EndpointListStaleness.WATCH_SILENCE_TIMEOUT_MICROS / 1_000 - 100,
                        EndpointListStaleness.MISSED_CHANGE_GRACE_MICROS / 1_000);
    }

    @Test
    void aWatchThatFallsSilentLateIsReplacedInTime() throws Exception {
        isBackIn6SecondsAfterFallingSilent(chunk(news(43, "draining") + "\n"), 43);
    }

    @Test
    void aWatchThatFallsSilentLateInTheMiddleOfAListIsReplacedInTime() throws Exception {
        isBackIn6SecondsAfterFallingSilent(chunk(news(43, "draining").substring(0, 60)), 42);
    }

    @Test
    void aWatchThatFallsSilentLateInTheMiddleOfAChunkIsReplacedInTime() throws Exception {
        String chunk = chunk(news(43, "draining") + "\n");
        isBackIn6SecondsAfterFallingSilent(chunk.substring(0, chunk.length() - 40), 42);
    }

    private static String whole(int rev, String... uidsAndStates) {
        StringBuilder targets = new StringBuilder();
        for (int i = 0; i < uidsAndStates.length; i += 2) {
            targets.append(i == 0 ? "" : ",")
                    .append("{\"uid\":\"" + uidsAndStates[i] + "\",\"endpoint\":\"127.0.0.1:9\",\"az\":\"home\","
                            + "\"pod_group\":0,\"state\":\"" + uidsAndStates[i + 1]
                            + "\",\"capacity_hint\":1,\"boot_ms\":0}");
        }
        return chunk("{\"rev\":" + rev + ",\"all\":true,\"targets\":[" + targets + "]}\n");
    }

    private String listed() throws Exception {
        CompletableFuture<String> read = new CompletableFuture<>();
        loop.execute(() -> read.complete(relay.endpoints().endpoints().stream()
                .map(line -> line.entry().serverId() + " " + line.entry().state())
                .sorted()
                .collect(Collectors.joining(", "))));
        return read.get(10, TimeUnit.SECONDS);
    }

    /** What went in the gap is told by nobody: it is only missing in the whole list, whose version may be a lower one. */
    @ParameterizedTest
    @ValueSource(ints = {60, 7})
    void aListThatComesWholeAfterAGapTakesThePlaceOfTheOneBefore(int rev) throws Exception {
        ask();
        say(HEAD + whole(50, "s1", "ready", "s2", "ready", "s3", "ready", "s4", "draining"));
        untilPhase(EndpointState.READY);
        socket.setSoLinger(true, 0);
        socket.close();
        assertThat(ask()).isEqualTo("GET /registry/instances?watch=1&from=50 HTTP/1.1");
        assertThat(listed()).as("kept over the gap").isEqualTo("s1 READY, s2 READY, s3 READY, s4 DRAINING");
        String all = whole(rev, "s2", "draining", "s3", "ready", "s5", "ready");
        // a list that is not whole yet changes nothing
        say(HEAD + all.substring(0, all.length() - 20));
        assertThat(listed()).isEqualTo("s1 READY, s2 READY, s3 READY, s4 DRAINING");
        say(all.substring(all.length() - 20));
        untilPhase(EndpointState.GONE);
        assertThat(listed()).isEqualTo("s2 DRAINING, s3 READY, s5 READY");
        say("0\r\n\r\n");
        assertThat(ask()).isEqualTo("GET /registry/instances?watch=1&from=" + rev + " HTTP/1.1");
    }

    private void moveTo(ServerSocket discovery) {
        Address address = new Address("127.0.0.1", discovery.getLocalPort());
        loop.execute(() -> watch.moveTo(address));
    }

    private void theOneBeforeGoesOnTelling(Socket before) throws Exception {
        Socket current = socket;
        socket = before;
        say(chunk(news(43, "draining") + "\n"));
        untilPhase(EndpointState.DRAINING);
        socket = current;
    }

    @Test
    void movesToAnotherAddressAndKeepsTheListUntilThatOneHasToldIts() throws Exception {
        ask();
        say(HEAD + chunk(news(42, "ready") + "\n"));
        untilPhase(EndpointState.READY);
        Socket before = socket;
        moveTo(elsewhere);
        // its versions are its own: nothing is asked for from the old one's
        assertThat(ask(elsewhere)).isEqualTo("GET /registry/instances?watch=1 HTTP/1.1");
        theOneBeforeGoesOnTelling(before);
        say("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        assertThat(ask(elsewhere)).isEqualTo("GET /registry/instances?watch=1 HTTP/1.1");
        untilPhase(EndpointState.DRAINING);
        say(HEAD + chunk(news(3, "ready").replace("\"all\":false", "\"all\":true") + "\n"));
        untilPhase(EndpointState.READY);
        assertThat(before.getInputStream().read())
                .as("the watch before is ended")
                .isEqualTo(-1);
        say("0\r\n\r\n");
        assertThat(ask(elsewhere)).isEqualTo("GET /registry/instances?watch=1&from=3 HTTP/1.1");
    }

    @Test
    void movesAgainBeforeTheNewAddressHasTold() throws Exception {
        ask();
        say(HEAD + chunk(news(42, "ready") + "\n"));
        untilPhase(EndpointState.READY);
        Socket before = socket;
        moveTo(elsewhere);
        ask(elsewhere);
        moveTo(listening);
        assertThat(ask()).isEqualTo("GET /registry/instances?watch=1 HTTP/1.1");
        theOneBeforeGoesOnTelling(before);
        say(HEAD + chunk(news(7, "ready").replace("\"all\":false", "\"all\":true") + "\n"));
        untilPhase(EndpointState.READY);
    }
}
