package sandstack.front.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import sandstack.core.ConnectionOutcome;
import sandstack.core.EndpointRegistry;
import sandstack.decisions.EndpointListKind;
import sandstack.decisions.EndpointState;
import sandstack.front.platform.PausableRelay.RemoteEnd;

/**
 * Events that arrive concurrently with a decision of the relay, on real sockets. The relay's thread is paused while the
 * other side acts, so that each race is deterministic. docs/crossings.md lists all of them.
 */
@Timeout(60)
class ConcurrentEventsTest {
    /** Bytes of a request that a full socket has accepted. */
    private static final int HALF_A_LINE = "OPEN id1 k c".length();

    private static final String OTHER_HALF = "=unsafe,d=";

    private PausableRelay pausableRelay;

    @BeforeEach
    void start() throws Exception {
        pausableRelay = new PausableRelay();
        pausableRelay.addServer();
        pausableRelay.addServer();
    }

    @AfterEach
    void stop() throws Exception {
        pausableRelay.close();
    }

    private RemoteEnd clientWithRequest(String key, String cls) throws IOException {
        RemoteEnd client = pausableRelay.client();
        client.send(pausableRelay.openLine(key, cls, 2_000));
        return client;
    }

    /**
     * Asserts that no request was forwarded in between: the next one to reach a feed server is a new one with this key.
     */
    private void assertNextRequest(String key) throws Exception {
        RemoteEnd client = clientWithRequest(key, "safe");
        try (client;
                RemoteEnd upstreamRequest = pausableRelay.nextUpstreamRequest()) {
            assertThat(upstreamRequest.key).isEqualTo(key);
        }
    }

    private RemoteEnd establishedClient(String key) throws Exception {
        RemoteEnd client = clientWithRequest(key, "safe");
        RemoteEnd server = pausableRelay.nextUpstreamRequest();
        server.send("UP receipt\r\n");
        assertThat(client.readLine()).isEqualTo("UP receipt");
        client.upstreamEnd = server;
        return client;
    }

    private long outcomeCount(ConnectionOutcome outcome) {
        return pausableRelay.relay.outcomeCounts().getOrDefault(outcome, 0L);
    }

    @Test
    void requestOfADisconnectedClientIsNotForwarded() throws Exception {
        pausableRelay.pause();
        clientWithRequest("gone", "safe").close();
        pausableRelay.release();
        assertNextRequest("next");
    }

    /** How a client disconnects. */
    private interface Leaving {
        void of(RemoteEnd client) throws IOException;
    }

    private RemoteEnd leftAsItsRetryFellDue(Leaving how) throws Exception {
        pausableRelay.pauseWhen(() -> outcomeCount(ConnectionOutcome.RESET) == 1);
        RemoteEnd client = clientWithRequest("gone", "safe");
        pausableRelay.nextUpstreamRequest().reset();
        pausableRelay.awaitPaused();
        how.of(client);
        pausableRelay.releaseWhenDue();
        return client;
    }

    /** The retry falls due during a stall of the relay. */
    @Test
    void retryOfADisconnectedClientIsNotSent() throws Exception {
        leftAsItsRetryFellDue(RemoteEnd::close);
        assertNextRequest("next");
    }

    /** A client that shuts its output down has cancelled its request. */
    @Test
    void retryOfACancelledRequestIsNotSent() throws Exception {
        RemoteEnd client = leftAsItsRetryFellDue(c -> c.socket.shutdownOutput());
        assertNextRequest("next");
        assertThat(client.readLine())
                .as("the end of the cancelled request's connection")
                .isNull();
    }

    @Test
    void disconnectDuringTheAnswerLeavesNoState() throws Exception {
        RemoteEnd client = clientWithRequest("gone", "safe");
        RemoteEnd server = pausableRelay.nextUpstreamRequest();
        pausableRelay.pause();
        server.send("UP receipt\r\n");
        client.close();
        pausableRelay.release();
        assertThat(server.readLine()).as("the feed server's side ends too").isNull();
        assertNextRequest("next");
        pausableRelay.onLoop(() -> assertThat(pausableRelay.relay.clients())
                .allMatch(c -> c.request().clientKey().equals("next")));
    }

    /** SIGTERM and the answer arrive in one turn: the client is served, and then receives MOVE. */
    @Test
    void answerDuringShutdownIsForwardedAndTheClientMigrated() throws Exception {
        RemoteEnd client = clientWithRequest("k", "safe");
        RemoteEnd server = pausableRelay.nextUpstreamRequest();
        pausableRelay.pause();
        CompletableFuture<Void> drained = new CompletableFuture<>();
        pausableRelay.loop.execute(() ->
                pausableRelay.relay.drain(pausableRelay.admission::peersWithoutRequest, () -> drained.complete(null)));
        server.send("UP receipt\r\n");
        pausableRelay.release();
        assertThat(client.readLine()).isEqualTo("UP receipt");
        assertThat(client.readLine()).isEqualTo("MOVE");
        assertThat(client.readLine()).isNull();
        drained.get(20, TimeUnit.SECONDS);
    }

    @Test
    void partialAnswerMayHaveRun() throws Exception {
        RemoteEnd client = clientWithRequest("k", "unsafe");
        RemoteEnd server = pausableRelay.nextUpstreamRequest();
        pausableRelay.pause();
        server.send("UP rec");
        server.close();
        pausableRelay.release();
        assertThat(client.readLine()).isEqualTo("ERR");
        assertThat(pausableRelay.noUpstreamRequest())
                .as("nothing was sent again")
                .isTrue();
    }

    /** The first answer counts, although the second arrives in the same read. */
    @Test
    void secondAnswerIsIgnored() throws Exception {
        RemoteEnd client = clientWithRequest("k", "unsafe");
        RemoteEnd first = pausableRelay.nextUpstreamRequest();
        first.send("BUSY\r\nUP receipt\r\n");
        RemoteEnd second = pausableRelay.nextUpstreamRequest();
        second.send("UP other\r\n");
        assertThat(client.readLine()).isEqualTo("UP other");
    }

    /** A rejection right before the reset must not be lost: the request has not run and may be retried. */
    @Test
    void answerRightBeforeAResetCounts() throws Exception {
        RemoteEnd client = clientWithRequest("k", "unsafe");
        RemoteEnd first = pausableRelay.nextUpstreamRequest();
        pausableRelay.pause();
        first.send("BUSY\r\n");
        first.reset();
        pausableRelay.release();
        RemoteEnd second = pausableRelay.nextUpstreamRequest();
        assertThat(second.key).as("a request that has not run is retried").isEqualTo("k");
        second.send("UP receipt\r\n");
        assertThat(client.readLine()).isEqualTo("UP receipt");
    }

    /** The last line before a reset must reach the client. */
    @Test
    void moveRightBeforeAResetReachesTheClient() throws Exception {
        RemoteEnd client = establishedClient("k");
        pausableRelay.pause();
        client.upstreamEnd.send("MOVE\r\n");
        client.upstreamEnd.reset();
        pausableRelay.release();
        assertThat(client.readLine()).isEqualTo("MOVE");
        assertThat(client.readLine()).as("an end, not a reset").isNull();
        pausableRelay.onLoop(() ->
                assertThat(outcomeCount(ConnectionOutcome.SERVER_DRAINING)).isEqualTo(1));
    }

    @Test
    void upstreamResetResetsTheClient() throws Exception {
        RemoteEnd client = establishedClient("k");
        client.upstreamEnd.send("half a li");
        client.upstreamEnd.reset();
        assertThatThrownBy(client::readLine).hasMessageContaining("reset");
    }

    /** The answer is in the kernel's buffer when the timeout of a silent server falls due. */
    @Test
    void answerAtTheTimeoutKeepsTheConnection() throws Exception {
        RemoteEnd client = establishedClient("k");
        client.send("M 1\r\n");
        assertThat(client.upstreamEnd.readLine()).isEqualTo("M 1");
        pausableRelay.pause();
        client.upstreamEnd.send("M 1\r\n");
        pausableRelay.releaseWhenDue();
        assertThat(client.readLine()).isEqualTo("M 1");
        client.upstreamEnd.send("M 2\r\n");
        assertThat(client.readLine()).isEqualTo("M 2");
    }

    /** The line exceeds the limit, although its end arrives in the same read. */
    @Test
    void answerLongerThanALineIsAnError() throws Exception {
        RemoteEnd client = clientWithRequest("k", "unsafe");
        RemoteEnd first = pausableRelay.nextUpstreamRequest();
        pausableRelay.pause();
        first.send("UP " + "x".repeat(5_000) + "\r\n");
        pausableRelay.release();
        assertThat(client.readLine()).isEqualTo("ERR");
    }

    /** A request that arrived during a stall of the relay has arrived in time. */
    @Test
    void requestAtTheRequestTimeoutIsServed() throws Exception {
        RemoteEnd client = pausableRelay.client();
        pausableRelay.pauseWhen(() -> pausableRelay.admission.peersWithoutRequest() == 1);
        pausableRelay.loop.execute(() -> {});
        pausableRelay.awaitPaused();
        client.send(pausableRelay.openLine("k", "safe", 2_000));
        pausableRelay.releaseWhenDue();
        assertThat(pausableRelay.nextUpstreamRequest().key).isEqualTo("k");
    }

    /** A close over unread bytes would be a reset; a request after the rejection must not be forwarded. */
    @Test
    void requestAfterTheRequestTimeoutIsNeitherForwardedNorReset() throws Exception {
        RemoteEnd client = pausableRelay.client();
        assertThat(client.readLine()).as("rejected at the request timeout").isEqualTo("BUSY 1000");
        assertThat(client.readLine()).isNull();
        client.send(pausableRelay.openLine("late", "safe", 2_000));
        pausableRelay.onLoop(() -> {});
        // the second write fails where the first was answered by a reset
        client.send("more\r\n");
        assertNextRequest("next");
    }

    /** A request between the last client's disconnect and the end of the process would be lost with the process. */
    @Test
    void requestAtADrainedRelayIsRejectedAtOnce() throws Exception {
        RemoteEnd resting = pausableRelay.client();
        RemoteEnd second = pausableRelay.client();
        pausableRelay.onLoop(() -> {});
        CompletableFuture<Void> drained = new CompletableFuture<>();
        pausableRelay.loop.execute(() -> pausableRelay.relay.drain(pausableRelay.admission::peersWithoutRequest, () -> {
            pausableRelay.admission.stopWaitingForRequests();
            drained.complete(null);
        }));
        drained.get(20, TimeUnit.SECONDS);
        second.send(pausableRelay.openLine("resting", "safe", 2_000));
        assertThat(resting.readLine()).startsWith("BUSY ");
        assertThat(second.readLine()).startsWith("BUSY ");
        assertThat(resting.readLine()).isNull();
        RemoteEnd client = clientWithRequest("late", "safe");
        assertThat(client.readLine()).matches("BUSY [1-9][0-9]{0,2}");
        assertThat(pausableRelay.noUpstreamRequest()).as("requests forwarded").isTrue();
        pausableRelay.onLoop(() -> assertThat(pausableRelay.relay.isDraining()).isTrue());
    }

    /** A connection to a feed server that has accepted the first bytes of the request and no more. */
    private RemoteEnd halfWritten() throws Exception {
        RemoteEnd way = pausableRelay.nextUpstreamConnection();
        byte[] begun = way.socket.getInputStream().readNBytes(HALF_A_LINE);
        assertThat(new String(begun, StandardCharsets.US_ASCII)).startsWith("OPEN ");
        return way;
    }

    private void assertRetried(RemoteEnd client) throws Exception {
        pausableRelay.writes.unlimited();
        RemoteEnd second = pausableRelay.nextUpstreamRequest();
        assertThat(second.key).as("what never ran is tried again").isEqualTo("k");
        second.send("UP receipt\r\n");
        assertThat(client.readLine()).isEqualTo("UP receipt");
        assertThat(pausableRelay.noUpstreamRequest()).isTrue();
        pausableRelay.onLoop(
                () -> assertThat(outcomeCount(ConnectionOutcome.NOT_CONNECTED)).isEqualTo(1));
    }

    /**
     * A request that no feed server has received completely has not run, and is retried although its class is not
     * idempotent.
     */
    @Test
    void upstreamResetBeforeTheCompleteRequestIsRetried() throws Exception {
        pausableRelay.writes.limit(HALF_A_LINE);
        RemoteEnd client = clientWithRequest("k", "unsafe");
        halfWritten().reset();
        pausableRelay.awaitOnLoop(() -> outcomeCount(ConnectionOutcome.NOT_CONNECTED) == 1);
        assertRetried(client);
    }

    @Test
    void upstreamEndBeforeTheCompleteRequestIsRetried() throws Exception {
        pausableRelay.writes.limit(HALF_A_LINE);
        RemoteEnd client = clientWithRequest("k", "unsafe");
        RemoteEnd first = halfWritten();
        first.socket.shutdownOutput();
        assertThat(first.socket.getInputStream().read())
                .as("nothing more of the line came")
                .isEqualTo(-1);
        assertRetried(client);
    }

    /** The feed server accepts no more bytes, and the attempt times out. */
    @Test
    void timeoutBeforeTheCompleteRequestIsRetried() throws Exception {
        pausableRelay.writes.limit(HALF_A_LINE);
        RemoteEnd client = clientWithRequest("k", "unsafe");
        assertThat(halfWritten().socket.getInputStream().read())
                .as("the end of the attempt")
                .isEqualTo(-1);
        assertRetried(client);
    }

    @Test
    void failedWriteOfAPartialRequestIsRetried() throws Exception {
        pausableRelay.writes.limit(HALF_A_LINE);
        RemoteEnd client = clientWithRequest("k", "unsafe");
        halfWritten();
        pausableRelay.writes.failOn(OTHER_HALF);
        assertRetried(client);
    }

    /**
     * Servers missing from the list get no new requests; their clients are migrated or stay, and are not disconnected.
     */
    @Test
    void fullListAfterAGapAppliesToAConcurrentRequest() throws Exception {
        List<RemoteEnd> clients = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            clients.add(establishedClient("k" + i));
        }
        pausableRelay.addServer();
        pausableRelay.pause();
        for (int i = 0; i < 6; i++) {
            clients.add(clientWithRequest("k" + i, "safe"));
        }
        pausableRelay.loop.execute(() -> pausableRelay.relay.onEndpointList(new EndpointRegistry.Update(
                EndpointListKind.FULL,
                50,
                List.of(
                        pausableRelay.endpoint(2, EndpointState.DRAINING),
                        pausableRelay.endpoint(3, EndpointState.READY)))));
        pausableRelay.release();
        for (int i = 0; i < 6; i++) {
            RemoteEnd ask = pausableRelay.nextUpstreamRequest();
            assertThat(ask.server).isEqualTo("s3");
            ask.send("UP receipt\r\n");
        }
        for (RemoteEnd client : clients.subList(6, 12)) {
            assertThat(client.readLine()).isEqualTo("UP receipt");
        }
        for (RemoteEnd client : clients.subList(0, 6)) {
            client.upstreamEnd.send("M 1\r\n");
            assertThat(client.readLine()).isIn("M 1", "MOVE");
        }
    }

    /** The last line is unread when a write fails, and must reach the client in place of a reset. */
    @Test
    void unreadMoveBeforeAFailedWriteReachesTheClient() throws Exception {
        List<RemoteEnd> clients = new ArrayList<>();
        // the order of the sockets is not defined: for some of the clients, theirs comes first
        for (int i = 0; i < 8; i++) {
            clients.add(establishedClient("k" + i));
        }
        pausableRelay.pause();
        for (RemoteEnd client : clients) {
            client.upstreamEnd.send("MOVE\r\n");
            client.send("M 1\r\n");
        }
        pausableRelay.writes.failOn("M 1");
        pausableRelay.release();
        for (RemoteEnd client : clients) {
            assertThat(client.readLine()).isEqualTo("MOVE");
            assertThat(client.readLine()).as("an end, not a reset").isNull();
        }
    }

    /** Once the last byte is written, the request may have run. */
    @Test
    void upstreamResetAfterTheCompleteRequestMayHaveRun() throws Exception {
        pausableRelay.writes.limit(HALF_A_LINE);
        RemoteEnd client = clientWithRequest("k", "unsafe");
        RemoteEnd first = halfWritten();
        pausableRelay.writes.unlimited();
        assertThat(first.readLine()).startsWith(OTHER_HALF);
        first.reset();
        assertThat(client.readLine()).isEqualTo("ERR");
        assertThat(pausableRelay.noUpstreamRequest())
                .as("nothing was sent again")
                .isTrue();
    }

    @Test
    void clientDisconnectDuringAPartialRequestClosesTheUpstream() throws Exception {
        pausableRelay.writes.limit(HALF_A_LINE);
        RemoteEnd client = clientWithRequest("k", "safe");
        RemoteEnd first = halfWritten();
        client.close();
        assertThat(first.socket.getInputStream().read())
                .as("nothing more of the line came")
                .isEqualTo(-1);
        pausableRelay.writes.unlimited();
        assertNextRequest("next");
    }
}
