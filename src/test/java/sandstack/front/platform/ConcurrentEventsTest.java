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
 * Events that arrive concurrently with a decision of the relay, on real sockets. The relay's event loop is paused while
 * the other side acts, so that each race is deterministic. docs/crossings.md lists all such races.
 */
@Timeout(60)
class ConcurrentEventsTest {
    /** Bytes of a request line that a socket accepts before it accepts no more. */
    private static final int PARTIAL_LINE_BYTES = "OPEN id1 k c".length();

    /** The bytes that follow, up to the value of the deadline. */
    private static final String NEXT_BYTES_OF_LINE = "=unsafe,d=";

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

    private RemoteEnd clientWithRequest(String key, String className) throws IOException {
        RemoteEnd client = pausableRelay.client();
        client.send(pausableRelay.openLine(key, className, 2_000));
        return client;
    }

    /**
     * Asserts that no other request has been forwarded: sends a request with this key, which must be the next one to
     * reach a feed server.
     */
    private void assertNextRequest(String key) throws Exception {
        RemoteEnd client = clientWithRequest(key, "safe");
        try (client;
                RemoteEnd upstreamRequest = pausableRelay.nextUpstreamRequest()) {
            assertThat(upstreamRequest.clientKey).isEqualTo(key);
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

    /** The way in which a client ends its connection. */
    private interface Disconnect {
        void disconnect(RemoteEnd client) throws IOException;
    }

    /**
     * Disconnects a client after its first attempt was reset and before the event loop runs the retry, which is due.
     */
    private RemoteEnd disconnectBeforeDueRetry(Disconnect disconnect) throws Exception {
        pausableRelay.pauseWhen(() -> outcomeCount(ConnectionOutcome.RESET) == 1);
        RemoteEnd client = clientWithRequest("gone", "safe");
        pausableRelay.nextUpstreamRequest().reset();
        pausableRelay.awaitPaused();
        disconnect.disconnect(client);
        pausableRelay.releaseWhenDue();
        return client;
    }

    /** The retry becomes due while the relay is stalled. */
    @Test
    void retryOfADisconnectedClientIsNotSent() throws Exception {
        disconnectBeforeDueRetry(RemoteEnd::close);
        assertNextRequest("next");
    }

    /** A client cancels its request by shutting down its output. */
    @Test
    void retryOfACancelledRequestIsNotSent() throws Exception {
        RemoteEnd client = disconnectBeforeDueRetry(c -> c.socket.shutdownOutput());
        assertNextRequest("next");
        assertThat(client.readLine())
                .as("the relay closes the cancelled request's connection without an answer")
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
        assertThat(server.readLine())
                .as("the relay closes the connection to the feed server")
                .isNull();
        assertNextRequest("next");
        pausableRelay.onLoop(() -> assertThat(pausableRelay.relay.clients())
                .allMatch(c -> c.request().clientKey().equals("next")));
    }

    /**
     * The relay starts to drain, as after SIGTERM, in the turn in which the answer arrives: the client receives the
     * answer and then MOVE.
     */
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

    /** After a part of an answer, the request may have been executed, and is not retried. */
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
                .as("the request is not retried")
                .isTrue();
    }

    /** The relay evaluates the first answer only, although a second one arrives in the same read. */
    @Test
    void secondAnswerIsIgnored() throws Exception {
        RemoteEnd client = clientWithRequest("k", "unsafe");
        RemoteEnd first = pausableRelay.nextUpstreamRequest();
        first.send("BUSY\r\nUP receipt\r\n");
        RemoteEnd second = pausableRelay.nextUpstreamRequest();
        second.send("UP other\r\n");
        assertThat(client.readLine()).isEqualTo("UP other");
    }

    /** A rejection received right before a reset must not be lost: the request was not executed and may be retried. */
    @Test
    void answerRightBeforeAResetCounts() throws Exception {
        RemoteEnd client = clientWithRequest("k", "unsafe");
        RemoteEnd first = pausableRelay.nextUpstreamRequest();
        pausableRelay.pause();
        first.send("BUSY\r\n");
        first.reset();
        pausableRelay.release();
        RemoteEnd second = pausableRelay.nextUpstreamRequest();
        assertThat(second.clientKey)
                .as("a request that was not executed is retried")
                .isEqualTo("k");
        second.send("UP receipt\r\n");
        assertThat(client.readLine()).isEqualTo("UP receipt");
    }

    /** A line received right before a reset must reach the client. */
    @Test
    void moveRightBeforeAResetReachesTheClient() throws Exception {
        RemoteEnd client = establishedClient("k");
        pausableRelay.pause();
        client.upstreamEnd.send("MOVE\r\n");
        client.upstreamEnd.reset();
        pausableRelay.release();
        assertThat(client.readLine()).isEqualTo("MOVE");
        assertThat(client.readLine())
                .as("the connection is closed without a reset")
                .isNull();
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

    /** The answer is in the kernel's buffer when the timeout of an unresponsive server expires. */
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

    /** The answer exceeds the line limit, and its line end arrives in the same read. */
    @Test
    void answerLongerThanALineIsAnError() throws Exception {
        RemoteEnd client = clientWithRequest("k", "unsafe");
        RemoteEnd first = pausableRelay.nextUpstreamRequest();
        pausableRelay.pause();
        first.send("UP " + "x".repeat(5_000) + "\r\n");
        pausableRelay.release();
        assertThat(client.readLine()).isEqualTo("ERR");
    }

    /** A request that arrives while the relay is stalled is in time, although the request timeout has expired. */
    @Test
    void requestAtTheRequestTimeoutIsServed() throws Exception {
        RemoteEnd client = pausableRelay.client();
        pausableRelay.pauseWhen(() -> pausableRelay.admission.peersWithoutRequest() == 1);
        pausableRelay.loop.execute(() -> {});
        pausableRelay.awaitPaused();
        client.send(pausableRelay.openLine("k", "safe", 2_000));
        pausableRelay.releaseWhenDue();
        assertThat(pausableRelay.nextUpstreamRequest().clientKey).isEqualTo("k");
    }

    /**
     * A request after the rejection must not be forwarded, and must not cause a reset. Closing the socket at once, with
     * unread bytes, would send one.
     */
    @Test
    void requestAfterTheRequestTimeoutIsNeitherForwardedNorReset() throws Exception {
        RemoteEnd client = pausableRelay.client();
        assertThat(client.readLine()).as("rejected at the request timeout").isEqualTo("BUSY 1000");
        assertThat(client.readLine()).isNull();
        client.send(pausableRelay.openLine("late", "safe", 2_000));
        pausableRelay.onLoop(() -> {});
        // this write would fail if the relay had answered the first with a reset
        client.send("more\r\n");
        assertNextRequest("next");
    }

    /** A request accepted between the end of the drain and the end of the process would be lost with the process. */
    @Test
    void requestAtADrainedRelayIsRejectedAtOnce() throws Exception {
        RemoteEnd idle = pausableRelay.client();
        RemoteEnd second = pausableRelay.client();
        pausableRelay.onLoop(() -> {});
        CompletableFuture<Void> drained = new CompletableFuture<>();
        pausableRelay.loop.execute(() -> pausableRelay.relay.drain(pausableRelay.admission::peersWithoutRequest, () -> {
            pausableRelay.admission.endRemaining();
            drained.complete(null);
        }));
        drained.get(20, TimeUnit.SECONDS);
        second.send(pausableRelay.openLine("late", "safe", 2_000));
        assertThat(idle.readLine()).startsWith("BUSY ");
        assertThat(second.readLine()).startsWith("BUSY ");
        assertThat(idle.readLine()).isNull();
        RemoteEnd client = clientWithRequest("late", "safe");
        assertThat(client.readLine()).matches("BUSY [1-9][0-9]{0,2}");
        assertThat(pausableRelay.noUpstreamRequest())
                .as("no request is forwarded")
                .isTrue();
        pausableRelay.onLoop(() -> assertThat(pausableRelay.relay.isDraining()).isTrue());
    }

    /** A feed server's end of a connection on which only the first bytes of the request line have been written. */
    private RemoteEnd partialUpstreamRequest() throws Exception {
        RemoteEnd connection = pausableRelay.nextUpstreamConnection();
        byte[] firstBytes = connection.socket.getInputStream().readNBytes(PARTIAL_LINE_BYTES);
        assertThat(new String(firstBytes, StandardCharsets.US_ASCII)).startsWith("OPEN ");
        return connection;
    }

    private void assertRetried(RemoteEnd client) throws Exception {
        pausableRelay.writes.unlimited();
        RemoteEnd second = pausableRelay.nextUpstreamRequest();
        assertThat(second.clientKey)
                .as("a request that was not executed is retried")
                .isEqualTo("k");
        second.send("UP receipt\r\n");
        assertThat(client.readLine()).isEqualTo("UP receipt");
        assertThat(pausableRelay.noUpstreamRequest()).isTrue();
        pausableRelay.onLoop(
                () -> assertThat(outcomeCount(ConnectionOutcome.NOT_CONNECTED)).isEqualTo(1));
    }

    /**
     * A request that no feed server has received completely was not executed, and is retried although its class is not
     * idempotent.
     */
    @Test
    void upstreamResetBeforeTheCompleteRequestIsRetried() throws Exception {
        pausableRelay.writes.limit(PARTIAL_LINE_BYTES);
        RemoteEnd client = clientWithRequest("k", "unsafe");
        partialUpstreamRequest().reset();
        pausableRelay.awaitOnLoop(() -> outcomeCount(ConnectionOutcome.NOT_CONNECTED) == 1);
        assertRetried(client);
    }

    @Test
    void upstreamEndBeforeTheCompleteRequestIsRetried() throws Exception {
        pausableRelay.writes.limit(PARTIAL_LINE_BYTES);
        RemoteEnd client = clientWithRequest("k", "unsafe");
        RemoteEnd first = partialUpstreamRequest();
        first.socket.shutdownOutput();
        assertThat(first.socket.getInputStream().read())
                .as("the rest of the line is not sent")
                .isEqualTo(-1);
        assertRetried(client);
    }

    /** The attempt times out while the feed server accepts no more bytes. */
    @Test
    void timeoutBeforeTheCompleteRequestIsRetried() throws Exception {
        pausableRelay.writes.limit(PARTIAL_LINE_BYTES);
        RemoteEnd client = clientWithRequest("k", "unsafe");
        assertThat(partialUpstreamRequest().socket.getInputStream().read())
                .as("the relay closes the connection of the timed-out attempt")
                .isEqualTo(-1);
        assertRetried(client);
    }

    @Test
    void failedWriteOfAPartialRequestIsRetried() throws Exception {
        pausableRelay.writes.limit(PARTIAL_LINE_BYTES);
        RemoteEnd client = clientWithRequest("k", "unsafe");
        partialUpstreamRequest();
        pausableRelay.writes.failOn(NEXT_BYTES_OF_LINE);
        assertRetried(client);
    }

    /** Servers missing from the list get no new requests; their clients are migrated or stay connected. */
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
            RemoteEnd server = pausableRelay.nextUpstreamRequest();
            assertThat(server.serverId).isEqualTo("s3");
            server.send("UP receipt\r\n");
        }
        for (RemoteEnd client : clients.subList(6, 12)) {
            assertThat(client.readLine()).isEqualTo("UP receipt");
        }
        for (RemoteEnd client : clients.subList(0, 6)) {
            client.upstreamEnd.send("M 1\r\n");
            assertThat(client.readLine()).isIn("M 1", "MOVE");
        }
    }

    /** The feed server's last line is unread when a write to it fails, and must reach the client instead of a reset. */
    @Test
    void unreadMoveBeforeAFailedWriteReachesTheClient() throws Exception {
        List<RemoteEnd> clients = new ArrayList<>();
        // the selector's order is undefined; among several connections, some client's socket precedes its server's
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
            assertThat(client.readLine())
                    .as("the connection is closed without a reset")
                    .isNull();
        }
    }

    /** Once its last byte has been written, the request may have been executed, and is not retried. */
    @Test
    void upstreamResetAfterTheCompleteRequestMayHaveRun() throws Exception {
        pausableRelay.writes.limit(PARTIAL_LINE_BYTES);
        RemoteEnd client = clientWithRequest("k", "unsafe");
        RemoteEnd first = partialUpstreamRequest();
        pausableRelay.writes.unlimited();
        assertThat(first.readLine()).startsWith(NEXT_BYTES_OF_LINE);
        first.reset();
        assertThat(client.readLine()).isEqualTo("ERR");
        assertThat(pausableRelay.noUpstreamRequest())
                .as("the request is not retried")
                .isTrue();
    }

    @Test
    void clientDisconnectDuringAPartialRequestClosesTheUpstream() throws Exception {
        pausableRelay.writes.limit(PARTIAL_LINE_BYTES);
        RemoteEnd client = clientWithRequest("k", "safe");
        RemoteEnd first = partialUpstreamRequest();
        client.close();
        assertThat(first.socket.getInputStream().read())
                .as("the rest of the line is not sent")
                .isEqualTo(-1);
        pausableRelay.writes.unlimited();
        assertNextRequest("next");
    }
}
