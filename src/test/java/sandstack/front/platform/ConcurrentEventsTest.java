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
 * What happens where a request, an answer or a signal comes between two lines of the relay's, on real sockets. The relay's
 * thread is held while the other side acts, so each crossing is there every time. docs/crossings.md lists them all.
 */
@Timeout(60)
class ConcurrentEventsTest {
    /** Bytes of a request's line that a full socket has taken. */
    private static final int HALF_A_LINE = "OPEN id1 k c".length();

    private static final String OTHER_HALF = "=unsafe,d=";

    private PausableRelay held;

    @BeforeEach
    void start() throws Exception {
        held = new PausableRelay();
        held.addServer();
        held.addServer();
    }

    @AfterEach
    void stop() throws Exception {
        held.close();
    }

    private RemoteEnd asking(String key, String cls) throws IOException {
        RemoteEnd client = held.client();
        client.send(held.openLine(key, cls, 2_000));
        return client;
    }

    /** Nothing was sent on in between: the next request that reaches a feed server is this one. */
    private void assertNextRequest(String key) throws Exception {
        try (RemoteEnd client = asking(key, "safe");
                RemoteEnd ask = held.nextUpstreamRequest()) {
            assertThat(ask.key).isEqualTo(key);
        }
    }

    private RemoteEnd standing(String key) throws Exception {
        RemoteEnd client = asking(key, "safe");
        RemoteEnd server = held.nextUpstreamRequest();
        server.send("UP receipt\r\n");
        assertThat(client.readLine()).isEqualTo("UP receipt");
        client.upstreamEnd = server;
        return client;
    }

    private long endings(ConnectionOutcome ending) {
        return held.relay.outcomeCounts().getOrDefault(ending, 0L);
    }

    @Test
    void requestOfADisconnectedClientIsNotForwarded() throws Exception {
        held.pause();
        asking("gone", "safe").close();
        held.release();
        assertNextRequest("next");
    }

    /** How a client makes known that it has gone. */
    private interface Leaving {
        void of(RemoteEnd client) throws IOException;
    }

    private RemoteEnd leftAsItsRetryFellDue(Leaving how) throws Exception {
        held.pauseWhen(() -> endings(ConnectionOutcome.RESET) == 1);
        RemoteEnd client = asking("gone", "safe");
        held.nextUpstreamRequest().reset();
        held.awaitPaused();
        how.of(client);
        held.releaseWhenDue();
        return client;
    }

    /** Its retry fell due while the relay was held up: deadlines came before sockets, and it was sent on. */
    @Test
    void retryOfADisconnectedClientIsNotSent() throws Exception {
        leftAsItsRetryFellDue(RemoteEnd::close);
        assertNextRequest("next");
    }

    /** The same by half: a client that ends its sending has cancelled its request. */
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
        RemoteEnd client = asking("gone", "safe");
        RemoteEnd server = held.nextUpstreamRequest();
        held.pause();
        server.send("UP receipt\r\n");
        client.close();
        held.release();
        assertThat(server.readLine()).as("the feed server's side ends too").isNull();
        assertNextRequest("next");
        held.onLoop(() -> assertThat(held.relay.clients())
                .allMatch(c -> c.request().clientKey().equals("next")));
    }

    /** SIGTERM and the answer come in one turn: the client is served, and told to move before its side ends. */
    @Test
    void answerDuringShutdownIsForwardedAndTheClientMigrated() throws Exception {
        RemoteEnd client = asking("k", "safe");
        RemoteEnd server = held.nextUpstreamRequest();
        held.pause();
        CompletableFuture<Void> drained = new CompletableFuture<>();
        held.loop.execute(() -> held.relay.drain(held.admission::peersWithoutRequest, () -> drained.complete(null)));
        server.send("UP receipt\r\n");
        held.release();
        assertThat(client.readLine()).isEqualTo("UP receipt");
        assertThat(client.readLine()).isEqualTo("MOVE");
        assertThat(client.readLine()).isNull();
        drained.get(20, TimeUnit.SECONDS);
    }

    @Test
    void partialAnswerMayHaveRun() throws Exception {
        RemoteEnd client = asking("k", "unsafe");
        RemoteEnd server = held.nextUpstreamRequest();
        held.pause();
        server.send("UP rec");
        server.close();
        held.release();
        assertThat(client.readLine()).isEqualTo("ERR");
        assertThat(held.noUpstreamRequest()).as("nothing was sent again").isTrue();
    }

    /** The first answer counts, though the second lies in the same piece. */
    @Test
    void secondAnswerIsIgnored() throws Exception {
        RemoteEnd client = asking("k", "unsafe");
        RemoteEnd first = held.nextUpstreamRequest();
        first.send("BUSY\r\nUP receipt\r\n");
        RemoteEnd second = held.nextUpstreamRequest();
        second.send("UP other\r\n");
        assertThat(client.readLine()).isEqualTo("UP other");
    }

    /** What came right before the reset went with it: turned away, which never ran, counted as one that may have. */
    @Test
    void answerRightBeforeAResetCounts() throws Exception {
        RemoteEnd client = asking("k", "unsafe");
        RemoteEnd first = held.nextUpstreamRequest();
        held.pause();
        first.send("BUSY\r\n");
        first.reset();
        held.release();
        RemoteEnd second = held.nextUpstreamRequest();
        assertThat(second.key).as("a request that never ran is tried again").isEqualTo("k");
        second.send("UP receipt\r\n");
        assertThat(client.readLine()).isEqualTo("UP receipt");
    }

    /** Before, the client heard a reset and no MOVE. */
    @Test
    void moveRightBeforeAResetReachesTheClient() throws Exception {
        RemoteEnd client = standing("k");
        held.pause();
        client.upstreamEnd.send("MOVE\r\n");
        client.upstreamEnd.reset();
        held.release();
        assertThat(client.readLine()).isEqualTo("MOVE");
        assertThat(client.readLine()).as("an end, not a reset").isNull();
        held.onLoop(() -> assertThat(endings(ConnectionOutcome.SERVER_DRAINING)).isEqualTo(1));
    }

    @Test
    void upstreamResetResetsTheClient() throws Exception {
        RemoteEnd client = standing("k");
        client.upstreamEnd.send("half a li");
        client.upstreamEnd.reset();
        assertThatThrownBy(client::readLine).hasMessageContaining("reset");
    }

    /** The answer lay in the kernel while the relay was held up, and its client was moved for silence. */
    @Test
    void answerAtTheTimeoutKeepsTheConnection() throws Exception {
        RemoteEnd client = standing("k");
        client.send("M 1\r\n");
        assertThat(client.upstreamEnd.readLine()).isEqualTo("M 1");
        held.pause();
        client.upstreamEnd.send("M 1\r\n");
        held.releaseWhenDue();
        assertThat(client.readLine()).isEqualTo("M 1");
        client.upstreamEnd.send("M 2\r\n");
        assertThat(client.readLine()).isEqualTo("M 2");
    }

    /** Longer than any line may be, though its end came in the same piece. */
    @Test
    void answerLongerThanALineIsAnError() throws Exception {
        RemoteEnd client = asking("k", "unsafe");
        RemoteEnd first = held.nextUpstreamRequest();
        held.pause();
        first.send("UP " + "x".repeat(5_000) + "\r\n");
        held.release();
        assertThat(client.readLine()).isEqualTo("ERR");
    }

    /** Whoever has not asked in time is told so; a line that came while the relay was held up has come in time. */
    @Test
    void requestAtTheRequestTimeoutIsServed() throws Exception {
        RemoteEnd client = held.client();
        held.pauseWhen(() -> held.admission.peersWithoutRequest() == 1);
        held.loop.execute(() -> {});
        held.awaitPaused();
        client.send(held.openLine("k", "safe", 2_000));
        held.releaseWhenDue();
        assertThat(held.nextUpstreamRequest().key).isEqualTo("k");
    }

    /** A close over unread bytes is a reset, and a request that comes after our end must not be sent on. */
    @Test
    void requestAfterTheRequestTimeoutIsNeitherForwardedNorReset() throws Exception {
        RemoteEnd client = held.client();
        assertThat(client.readLine()).as("told that its time to ask is over").isEqualTo("BUSY 1000");
        assertThat(client.readLine()).isNull();
        client.send(held.openLine("late", "safe", 2_000));
        held.onLoop(() -> {});
        // the second write fails where the first was answered by a reset
        client.send("more\r\n");
        assertNextRequest("next");
    }

    /** Between the last client's leaving and the process's end a request was sent on, to be lost with the process. */
    @Test
    void requestAtADrainedRelayIsRejectedAtOnce() throws Exception {
        RemoteEnd resting = held.client();
        RemoteEnd second = held.client();
        held.onLoop(() -> {});
        CompletableFuture<Void> drained = new CompletableFuture<>();
        held.loop.execute(() -> held.relay.drain(held.admission::peersWithoutRequest, () -> {
            held.admission.stopWaitingForRequests();
            drained.complete(null);
        }));
        drained.get(20, TimeUnit.SECONDS);
        second.send(held.openLine("resting", "safe", 2_000));
        assertThat(resting.readLine()).startsWith("BUSY ");
        assertThat(second.readLine()).startsWith("BUSY ");
        assertThat(resting.readLine()).isNull();
        RemoteEnd late = asking("late", "safe");
        assertThat(late.readLine()).matches("BUSY [1-9][0-9]{0,2}");
        assertThat(held.noUpstreamRequest()).as("requests sent on").isTrue();
        held.onLoop(() -> assertThat(held.relay.isDraining()).isTrue());
    }

    /** A way to a feed server that has taken the first bytes of the line and no more. */
    private RemoteEnd halfWritten() throws Exception {
        RemoteEnd way = held.nextUpstreamConnection();
        byte[] begun = way.socket.getInputStream().readNBytes(HALF_A_LINE);
        assertThat(new String(begun, StandardCharsets.US_ASCII)).startsWith("OPEN ");
        return way;
    }

    private void assertRetried(RemoteEnd client) throws Exception {
        held.writes.unlimited();
        RemoteEnd second = held.nextUpstreamRequest();
        assertThat(second.key).as("what never ran is tried again").isEqualTo("k");
        second.send("UP receipt\r\n");
        assertThat(client.readLine()).isEqualTo("UP receipt");
        assertThat(held.noUpstreamRequest()).isTrue();
        held.onLoop(() -> assertThat(endings(ConnectionOutcome.NOT_CONNECTED)).isEqualTo(1));
    }

    /** What the feed server never had whole has not run, and may be repeated though its class is not safe. */
    @Test
    void upstreamResetBeforeTheCompleteRequestIsRetried() throws Exception {
        held.writes.limit(HALF_A_LINE);
        RemoteEnd client = asking("k", "unsafe");
        halfWritten().reset();
        held.awaitOnLoop(() -> endings(ConnectionOutcome.NOT_CONNECTED) == 1);
        assertRetried(client);
    }

    @Test
    void upstreamEndBeforeTheCompleteRequestIsRetried() throws Exception {
        held.writes.limit(HALF_A_LINE);
        RemoteEnd client = asking("k", "unsafe");
        RemoteEnd first = halfWritten();
        first.socket.shutdownOutput();
        assertThat(first.socket.getInputStream().read())
                .as("nothing more of the line came")
                .isEqualTo(-1);
        assertRetried(client);
    }

    /** Its feed server takes no more, and the relay gives up first. */
    @Test
    void timeoutBeforeTheCompleteRequestIsRetried() throws Exception {
        held.writes.limit(HALF_A_LINE);
        RemoteEnd client = asking("k", "unsafe");
        assertThat(halfWritten().socket.getInputStream().read())
                .as("the end of the attempt")
                .isEqualTo(-1);
        assertRetried(client);
    }

    @Test
    void failedWriteOfAPartialRequestIsRetried() throws Exception {
        held.writes.limit(HALF_A_LINE);
        RemoteEnd client = asking("k", "unsafe");
        halfWritten();
        held.writes.failOn(OTHER_HALF);
        assertRetried(client);
    }

    /** What the gap has taken away gets nothing new, and who stands there is moved or stays, and is not cut off. */
    @Test
    void fullListAfterAGapAppliesToAConcurrentRequest() throws Exception {
        List<RemoteEnd> clients = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            clients.add(standing("k" + i));
        }
        held.addServer();
        held.pause();
        for (int i = 0; i < 6; i++) {
            clients.add(asking("k" + i, "safe"));
        }
        held.loop.execute(() -> held.relay.onEndpointList(new EndpointRegistry.Update(
                EndpointListKind.FULL,
                50,
                List.of(held.endpoint(2, EndpointState.DRAINING), held.endpoint(3, EndpointState.READY)))));
        held.release();
        for (int i = 0; i < 6; i++) {
            RemoteEnd ask = held.nextUpstreamRequest();
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

    /** The last word lay unread as the write failed, and the client heard a reset in place of it. */
    @Test
    void unreadMoveBeforeAFailedWriteReachesTheClient() throws Exception {
        List<RemoteEnd> clients = new ArrayList<>();
        // whichever socket the relay looks at first, of some of them it is the client's
        for (int i = 0; i < 8; i++) {
            clients.add(standing("k" + i));
        }
        held.pause();
        for (RemoteEnd client : clients) {
            client.upstreamEnd.send("MOVE\r\n");
            client.send("M 1\r\n");
        }
        held.writes.failOn("M 1");
        held.release();
        for (RemoteEnd client : clients) {
            assertThat(client.readLine()).isEqualTo("MOVE");
            assertThat(client.readLine()).as("an end, not a reset").isNull();
        }
    }

    /** With its last byte written the same break leaves it open whether the request has run. */
    @Test
    void upstreamResetAfterTheCompleteRequestMayHaveRun() throws Exception {
        held.writes.limit(HALF_A_LINE);
        RemoteEnd client = asking("k", "unsafe");
        RemoteEnd first = halfWritten();
        held.writes.unlimited();
        assertThat(first.readLine()).startsWith(OTHER_HALF);
        first.reset();
        assertThat(client.readLine()).isEqualTo("ERR");
        assertThat(held.noUpstreamRequest()).as("nothing was sent again").isTrue();
    }

    @Test
    void clientDisconnectDuringAPartialRequestClosesTheUpstream() throws Exception {
        held.writes.limit(HALF_A_LINE);
        RemoteEnd client = asking("k", "safe");
        RemoteEnd first = halfWritten();
        client.close();
        assertThat(first.socket.getInputStream().read())
                .as("nothing more of the line came")
                .isEqualTo(-1);
        held.writes.unlimited();
        assertNextRequest("next");
    }
}
