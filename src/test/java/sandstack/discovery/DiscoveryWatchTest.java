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

/**
 * The watch against a discovery of the test's own. The load balancer decides when to poll again: a poll follows each
 * failure.
 */
class DiscoveryWatchTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final EventLoop loop = new EventLoop();
    private ServerSocket discovery;
    private ServerSocket otherDiscovery;
    private Relay relay;
    private DiscoveryWatch watch;
    private Socket socket;

    @BeforeEach
    void start() throws Exception {
        discovery = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        otherDiscovery = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
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
        relay = new Relay(settings, 3, loop::nowMicros, () -> watch.poll());
        watch = new DiscoveryWatch(
                loop,
                relay,
                new Address("127.0.0.1", discovery.getLocalPort()),
                new EndpointListJson(List.of("home"), new MachineKinds(List.of())));
        relay.onEndpointList(new EndpointRegistry.Update(EndpointListKind.CACHED, 41, List.of()));
        loop.start(relay::runTurn, relay::nextTurnMicros);
    }

    @AfterEach
    void stop() throws IOException {
        loop.stop();
        discovery.close();
        otherDiscovery.close();
    }

    /** Waits for the next poll; returns its request line. */
    private String awaitPoll() throws IOException {
        return awaitPoll(discovery);
    }

    private String awaitPoll(ServerSocket discovery) throws IOException {
        discovery.setSoTimeout(20_000);
        socket = discovery.accept();
        BufferedReader in =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        String line = in.readLine();
        if (line == null) {
            // a connection that the watch closed before its request is no poll
            return awaitPoll(discovery);
        }
        while (!in.readLine().isEmpty()) {
            continue;
        }
        return line;
    }

    private void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static String update(int rev, String state) {
        return "{\"rev\":" + rev + ",\"all\":false,\"targets\":[{\"uid\":\"s1\",\"endpoint\":\"127.0.0.1:9\","
                + "\"az\":\"home\",\"pod_group\":0,\"state\":\"" + state + "\",\"capacity_hint\":1,\"boot_ms\":0}]}";
    }

    private void awaitState(EndpointState expected) throws Exception {
        EndpointState seen = null;
        for (long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
                seen != expected && System.nanoTime() < end; ) {
            CompletableFuture<EndpointState> read = new CompletableFuture<>();
            loop.execute(() -> read.complete(
                    relay.endpoints().get("s1") == null
                            ? EndpointState.GONE
                            : relay.endpoints().get("s1").entry().state()));
            seen = read.get(10, TimeUnit.SECONDS);
        }
        assertThat(seen).isEqualTo(expected);
    }

    @Test
    void appliesChangesHoweverTheyAreSplitAndPollsFromTheLastOne() throws Exception {
        assertThat(awaitPoll()).isEqualTo("GET /registry/instances?watch=1&from=41 HTTP/1.1");
        String line = update(42, "ready") + "\n";
        send(HEAD + chunk(line.substring(0, 30)) + chunk(line.substring(30) + "\n"));
        awaitState(EndpointState.READY);
        send(chunk(update(43, "draining") + "\n" + update(44, "gone") + "\n"));
        awaitState(EndpointState.GONE);
        send("0\r\n\r\n");
        assertThat(awaitPoll()).isEqualTo("GET /registry/instances?watch=1&from=44 HTTP/1.1");
    }

    @Test
    void survivesErrorStatusResetMalformedDataAndSilence() throws Exception {
        awaitPoll();
        send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        awaitPoll();
        socket.setSoLinger(true, 0);
        socket.close();
        awaitPoll();
        send(HEAD + chunk("not json\n"));
        awaitPoll();
        // nothing at all: a silent watch is replaced, as its updates count as known 6 s after discovery had them
        awaitPoll();
        send(HEAD + chunk(update(42, "ready") + "\n"));
        awaitState(EndpointState.READY);
    }

    /** Read line by line, an indented list was no list, and the watch was opened again and again. */
    @Test
    void readsListsThatAreIndentedAndSplitAnywhere() throws Exception {
        awaitPoll();
        String laidOut = new ObjectMapper()
                        .readTree(update(42, "ready"))
                        .toPrettyString()
                        .replace("\n", "\r\n  ") + "\n\n";
        send(HEAD);
        for (int i = 0; i < laidOut.length(); i += 7) {
            send(chunk(laidOut.substring(i, Math.min(laidOut.length(), i + 7))));
        }
        awaitState(EndpointState.READY);
        send(chunk(laidOut.replace("42", "43").replace("ready", "draining") + update(44, "gone")));
        awaitState(EndpointState.GONE);
        send("0\r\n\r\n");
        assertThat(awaitPoll()).isEqualTo("GET /registry/instances?watch=1&from=44 HTTP/1.1");
    }

    /** A list that is sent a byte at a time kept the watch alive for good, and its updates were never applied. */
    @Test
    void pollsAgainWhereAListIsNotCompleted() throws Exception {
        awaitPoll();
        send(HEAD + chunk(update(42, "ready").substring(0, 40)));
        Socket dripping = socket;
        Thread drops = new Thread(() -> {
            try {
                while (!Thread.currentThread().isInterrupted()) {
                    dripping.getOutputStream().write(chunk(" ").getBytes(StandardCharsets.US_ASCII));
                    Thread.sleep(100);
                }
            } catch (IOException | InterruptedException e) {
                // the watch has been closed, or the test has ended
            }
        });
        drops.start();
        assertThat(awaitPoll()).isEqualTo("GET /registry/instances?watch=1&from=41 HTTP/1.1");
        send(HEAD + chunk(update(42, "ready") + "\n"));
        awaitState(EndpointState.READY);
        drops.interrupt();
    }

    /**
     * Whatever backoff a failed poll allows, a change counts 6 s after discovery had it and could be reached: a backoff
     * that doubled was longer. The last poll before the return falls silent, the one after it has to come in time.
     */
    @Test
    void recoversWithin6SecondsHoweverOftenPollsHaveFailed() throws Exception {
        for (int i = 0; i < 8; i++) {
            awaitPoll();
            send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        }
        awaitPoll();
        long reachable = System.nanoTime();
        awaitPoll();
        send(HEAD + chunk(update(42, "draining") + "\n"));
        awaitState(EndpointState.DRAINING);
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - reachable)).isLessThan(6_000);
    }

    private void recoversWithin6SecondsAfterFallingSilent(String lastWords, int lastRev) throws Exception {
        awaitPoll();
        send(HEAD + chunk(update(42, "ready") + "\n"));
        awaitState(EndpointState.READY);
        // alive for longer than the timeout of a silent watch: each empty line starts it anew
        for (int i = 0; i < 5; i++) {
            send(chunk("\n"));
            TimeUnit.MICROSECONDS.sleep(EndpointListStaleness.WATCH_SILENCE_TIMEOUT_MICROS / 4);
        }
        send(lastWords);
        long silent = System.nanoTime();
        assertThat(awaitPoll()).isEqualTo("GET /registry/instances?watch=1&from=" + lastRev + " HTTP/1.1");
        send(HEAD + chunk(update(50, "gone") + "\n"));
        awaitState(EndpointState.GONE);
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - silent))
                .as("not replaced before it was silent")
                .isBetween(
                        EndpointListStaleness.WATCH_SILENCE_TIMEOUT_MICROS / 1_000 - 100,
                        EndpointListStaleness.MISSED_CHANGE_GRACE_MICROS / 1_000);
    }

    @Test
    void aWatchThatFallsSilentLateIsReplacedInTime() throws Exception {
        recoversWithin6SecondsAfterFallingSilent(chunk(update(43, "draining") + "\n"), 43);
    }

    @Test
    void aWatchThatFallsSilentLateInTheMiddleOfAListIsReplacedInTime() throws Exception {
        recoversWithin6SecondsAfterFallingSilent(chunk(update(43, "draining").substring(0, 60)), 42);
    }

    @Test
    void aWatchThatFallsSilentLateInTheMiddleOfAChunkIsReplacedInTime() throws Exception {
        String chunk = chunk(update(43, "draining") + "\n");
        recoversWithin6SecondsAfterFallingSilent(chunk.substring(0, chunk.length() - 40), 42);
    }

    private static String fullList(int rev, String... uidsAndStates) {
        StringBuilder targets = new StringBuilder();
        for (int i = 0; i < uidsAndStates.length; i += 2) {
            targets.append(i == 0 ? "" : ",")
                    .append("{\"uid\":\"" + uidsAndStates[i] + "\",\"endpoint\":\"127.0.0.1:9\",\"az\":\"home\","
                            + "\"pod_group\":0,\"state\":\"" + uidsAndStates[i + 1]
                            + "\",\"capacity_hint\":1,\"boot_ms\":0}");
        }
        return chunk("{\"rev\":" + rev + ",\"all\":true,\"targets\":[" + targets + "]}\n");
    }

    private String listedServers() throws Exception {
        CompletableFuture<String> read = new CompletableFuture<>();
        loop.execute(() -> read.complete(relay.endpoints().endpoints().stream()
                .map(line -> line.entry().serverId() + " " + line.entry().state())
                .sorted()
                .collect(Collectors.joining(", "))));
        return read.get(10, TimeUnit.SECONDS);
    }

    /**
     * No update reports what was removed in the gap: it is only missing in the full list, whose version may be lower.
     */
    @ParameterizedTest
    @ValueSource(ints = {60, 7})
    void aFullListAfterAGapReplacesThePreviousOne(int rev) throws Exception {
        awaitPoll();
        send(HEAD + fullList(50, "s1", "ready", "s2", "ready", "s3", "ready", "s4", "draining"));
        awaitState(EndpointState.READY);
        socket.setSoLinger(true, 0);
        socket.close();
        assertThat(awaitPoll()).isEqualTo("GET /registry/instances?watch=1&from=50 HTTP/1.1");
        assertThat(listedServers())
                .as("the list during the gap")
                .isEqualTo("s1 READY, s2 READY, s3 READY, s4 DRAINING");
        String all = fullList(rev, "s2", "draining", "s3", "ready", "s5", "ready");
        // a list that is not complete yet changes nothing
        send(HEAD + all.substring(0, all.length() - 20));
        assertThat(listedServers()).isEqualTo("s1 READY, s2 READY, s3 READY, s4 DRAINING");
        send(all.substring(all.length() - 20));
        awaitState(EndpointState.GONE);
        assertThat(listedServers()).isEqualTo("s2 DRAINING, s3 READY, s5 READY");
        send("0\r\n\r\n");
        assertThat(awaitPoll()).isEqualTo("GET /registry/instances?watch=1&from=" + rev + " HTTP/1.1");
    }

    private void switchTo(ServerSocket discovery) {
        Address address = new Address("127.0.0.1", discovery.getLocalPort());
        loop.execute(() -> watch.switchTo(address));
    }

    private void previousWatchStaysInUse(Socket before) throws Exception {
        Socket current = socket;
        socket = before;
        send(chunk(update(43, "draining") + "\n"));
        awaitState(EndpointState.DRAINING);
        socket = current;
    }

    @Test
    void switchesTheAddressAndKeepsTheListUntilTheNewOneHasSentIts() throws Exception {
        awaitPoll();
        send(HEAD + chunk(update(42, "ready") + "\n"));
        awaitState(EndpointState.READY);
        Socket before = socket;
        switchTo(otherDiscovery);
        // its versions are its own: the old one's is not sent
        assertThat(awaitPoll(otherDiscovery)).isEqualTo("GET /registry/instances?watch=1 HTTP/1.1");
        previousWatchStaysInUse(before);
        send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        assertThat(awaitPoll(otherDiscovery)).isEqualTo("GET /registry/instances?watch=1 HTTP/1.1");
        awaitState(EndpointState.DRAINING);
        send(HEAD + chunk(update(3, "ready").replace("\"all\":false", "\"all\":true") + "\n"));
        awaitState(EndpointState.READY);
        assertThat(before.getInputStream().read())
                .as("the previous watch is closed")
                .isEqualTo(-1);
        send("0\r\n\r\n");
        assertThat(awaitPoll(otherDiscovery)).isEqualTo("GET /registry/instances?watch=1&from=3 HTTP/1.1");
    }

    @Test
    void switchesAgainBeforeTheNewAddressHasSentAList() throws Exception {
        awaitPoll();
        send(HEAD + chunk(update(42, "ready") + "\n"));
        awaitState(EndpointState.READY);
        Socket before = socket;
        switchTo(otherDiscovery);
        awaitPoll(otherDiscovery);
        switchTo(discovery);
        assertThat(awaitPoll()).isEqualTo("GET /registry/instances?watch=1 HTTP/1.1");
        previousWatchStaysInUse(before);
        send(HEAD + chunk(update(7, "ready").replace("\"all\":false", "\"all\":true") + "\n"));
        awaitState(EndpointState.READY);
    }
}
