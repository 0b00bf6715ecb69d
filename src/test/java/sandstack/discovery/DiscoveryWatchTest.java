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
 * The discovery watch, with a discovery server that the test provides. The load balancer decides when to poll again,
 * and does so after each failure.
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
        RequestClass requestClass =
                new RequestClass(300_000, 2_000_000, 1, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 0);
        BalancerSettings settings = BalancerSettingsBuilder.of(List.of(requestClass))
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

    /** Waits for the next poll and returns its request line; {@link #socket} is its connection. */
    private String awaitPoll() throws IOException {
        return awaitPoll(discovery);
    }

    private String awaitPoll(ServerSocket server) throws IOException {
        server.setSoTimeout(20_000);
        socket = server.accept();
        BufferedReader in =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        String line = in.readLine();
        if (line == null) {
            // the watch closed this connection before it sent a request, so it is not a poll
            return awaitPoll(server);
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
        EndpointState state = null;
        for (long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
                state != expected && System.nanoTime() < end; ) {
            CompletableFuture<EndpointState> read = new CompletableFuture<>();
            loop.execute(() -> read.complete(
                    relay.endpoints().get("s1") == null
                            ? EndpointState.GONE
                            : relay.endpoints().get("s1").entry().state()));
            state = read.get(10, TimeUnit.SECONDS);
        }
        assertThat(state).isEqualTo(expected);
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
    void pollsAgainAfterErrorStatusResetMalformedDataAndSilence() throws Exception {
        awaitPoll();
        send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        awaitPoll();
        socket.setSoLinger(true, 0);
        socket.close();
        awaitPoll();
        send(HEAD + chunk("not json\n"));
        awaitPoll();
        // no response at all: the silent watch is replaced, as a relay has to apply a change within 6 s
        awaitPoll();
        send(HEAD + chunk(update(42, "ready") + "\n"));
        awaitState(EndpointState.READY);
    }

    /** If the stream were read line by line, an indented list would be malformed and the watch reopened repeatedly. */
    @Test
    void readsListsThatAreIndentedAndSplitAnywhere() throws Exception {
        awaitPoll();
        String indented = new ObjectMapper()
                        .readTree(update(42, "ready"))
                        .toPrettyString()
                        .replace("\n", "\r\n  ") + "\n\n";
        send(HEAD);
        for (int i = 0; i < indented.length(); i += 7) {
            send(chunk(indented.substring(i, Math.min(indented.length(), i + 7))));
        }
        awaitState(EndpointState.READY);
        send(chunk(indented.replace("42", "43").replace("ready", "draining") + update(44, "gone")));
        awaitState(EndpointState.GONE);
        send("0\r\n\r\n");
        assertThat(awaitPoll()).isEqualTo("GET /registry/instances?watch=1&from=44 HTTP/1.1");
    }

    /**
     * Without the timer for incomplete lists, a list sent byte by byte keeps the watch open forever and is never
     * applied.
     */
    @Test
    void pollsAgainWhereAListIsNotCompleted() throws Exception {
        awaitPoll();
        send(HEAD + chunk(update(42, "ready").substring(0, 40)));
        Socket slowConnection = socket;
        Thread slowWriter = new Thread(() -> {
            try {
                while (!Thread.currentThread().isInterrupted()) {
                    slowConnection.getOutputStream().write(chunk(" ").getBytes(StandardCharsets.US_ASCII));
                    Thread.sleep(100);
                }
            } catch (IOException | InterruptedException e) {
                // the watch has been closed, or the test has ended
            }
        });
        slowWriter.start();
        assertThat(awaitPoll()).isEqualTo("GET /registry/instances?watch=1&from=41 HTTP/1.1");
        send(HEAD + chunk(update(42, "ready") + "\n"));
        awaitState(EndpointState.READY);
        slowWriter.interrupt();
    }

    /**
     * However many polls have failed, a change has to be applied within 6 s of discovery having it and being reachable;
     * an unbounded doubling backoff takes longer. The last poll before discovery is reachable gets no response, and the
     * next one has to follow in time.
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

    private void recoversWithin6SecondsAfterFallingSilent(String lastBytes, int expectedVersion) throws Exception {
        awaitPoll();
        send(HEAD + chunk(update(42, "ready") + "\n"));
        awaitState(EndpointState.READY);
        // keeps the watch open for longer than the silence timeout, which each empty line restarts
        for (int i = 0; i < 5; i++) {
            send(chunk("\n"));
            TimeUnit.MICROSECONDS.sleep(EndpointListStaleness.WATCH_SILENCE_TIMEOUT_MICROS / 4);
        }
        send(lastBytes);
        long silent = System.nanoTime();
        assertThat(awaitPoll()).isEqualTo("GET /registry/instances?watch=1&from=" + expectedVersion + " HTTP/1.1");
        send(HEAD + chunk(update(50, "gone") + "\n"));
        awaitState(EndpointState.GONE);
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - silent))
                .as("milliseconds from the last data to the change applied by the next watch")
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
                .map(endpoint ->
                        endpoint.entry().serverId() + " " + endpoint.entry().state())
                .sorted()
                .collect(Collectors.joining(", "))));
        return read.get(10, TimeUnit.SECONDS);
    }

    /**
     * No update reports a server that was removed while no watch was open: its absence from the next full list is the
     * only sign, and the version of that list may be lower.
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
                .as("the list is kept while no watch is open")
                .isEqualTo("s1 READY, s2 READY, s3 READY, s4 DRAINING");
        String all = fullList(rev, "s2", "draining", "s3", "ready", "s5", "ready");
        // an incomplete list has no effect
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

    private void previousWatchStaysInUse(Socket previousSocket) throws Exception {
        Socket current = socket;
        socket = previousSocket;
        send(chunk(update(43, "draining") + "\n"));
        awaitState(EndpointState.DRAINING);
        socket = current;
    }

    @Test
    void switchesTheAddressAndKeepsTheListUntilTheNewAddressHasSentOne() throws Exception {
        awaitPoll();
        send(HEAD + chunk(update(42, "ready") + "\n"));
        awaitState(EndpointState.READY);
        Socket previousSocket = socket;
        switchTo(otherDiscovery);
        // versions of two addresses are not comparable, so the previous one's is not sent
        assertThat(awaitPoll(otherDiscovery)).isEqualTo("GET /registry/instances?watch=1 HTTP/1.1");
        previousWatchStaysInUse(previousSocket);
        send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        assertThat(awaitPoll(otherDiscovery)).isEqualTo("GET /registry/instances?watch=1 HTTP/1.1");
        awaitState(EndpointState.DRAINING);
        send(HEAD + chunk(update(3, "ready").replace("\"all\":false", "\"all\":true") + "\n"));
        awaitState(EndpointState.READY);
        assertThat(previousSocket.getInputStream().read())
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
        Socket previousSocket = socket;
        switchTo(otherDiscovery);
        awaitPoll(otherDiscovery);
        switchTo(discovery);
        assertThat(awaitPoll()).isEqualTo("GET /registry/instances?watch=1 HTTP/1.1");
        previousWatchStaysInUse(previousSocket);
        send(HEAD + chunk(update(7, "ready").replace("\"all\":false", "\"all\":true") + "\n"));
        awaitState(EndpointState.READY);
    }
}
