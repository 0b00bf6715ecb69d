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
import sandstack.front.platform.HeldRelay.End;

/**
 * What happens where a request, an answer or a signal comes between two lines of the relay's, on real sockets. The relay's
 * thread is held while the other side acts, so each crossing is there every time. docs/crossings.md lists them all.
 */
@Timeout(60)
class CrossingsTest {
    /** Bytes of a request's line that a full socket has taken. */
    private static final int HALF_A_LINE = "OPEN id1 k c".length();

    private static final String OTHER_HALF = "=unsafe,d=";

    private HeldRelay held;

    @BeforeEach
    void start() throws Exception {
        held = new HeldRelay();
        held.server();
        held.server();
    }

    @AfterEach
    void stop() throws Exception {
        held.close();
    }

    private End asking(String key, String cls) throws IOException {
        End client = held.client();
        client.say(held.open(key, cls, 2_000));
        return client;
    }

    /** Nothing was sent on in between: the next request that reaches a feed server is this one. */
    private void nextIs(String key) throws Exception {
        End client = asking(key, "safe");
        try (client;
                End ask = held.ask()) {
            assertThat(ask.key).isEqualTo(key);
        }
    }

    private End standing(String key) throws Exception {
        End client = asking(key, "safe");
        End server = held.ask();
        server.say("UP receipt\r\n");
        assertThat(client.hear()).isEqualTo("UP receipt");
        client.other = server;
        return client;
    }

    private long endings(ConnectionOutcome ending) {
        return held.relay.outcomeCounts().getOrDefault(ending, 0L);
    }

    @Test
    void aClientThatLeftBeforeItsLineWasReadIsNotSentOn() throws Exception {
        held.hold();
        asking("gone", "safe").close();
        held.release();
        nextIs("next");
    }

    /** How a client makes known that it has gone. */
    private interface Leaving {
        void of(End client) throws IOException;
    }

    private End leftAsItsRetryFellDue(Leaving how) throws Exception {
        held.holdWhen(() -> endings(ConnectionOutcome.RESET) == 1);
        End client = asking("gone", "safe");
        held.ask().reset();
        held.awaitHeld();
        how.of(client);
        held.releaseWhenDue();
        return client;
    }

    /** Its retry fell due while the relay was held up: deadlines came before sockets, and it was sent on. */
    @Test
    void aClientThatLeftWhileItsRetryFellDueIsNotSentOn() throws Exception {
        leftAsItsRetryFellDue(End::close);
        nextIs("next");
    }

    /** The same by half: a client that ends its sending has cancelled its request. */
    @Test
    void aClientThatCancelledWhileItsRetryFellDueIsNotSentOn() throws Exception {
        End client = leftAsItsRetryFellDue(c -> c.socket.shutdownOutput());
        nextIs("next");
        assertThat(client.hear())
                .as("the end of the cancelled request's connection")
                .isNull();
    }

    @Test
    void aClientThatLeavesAsItsAnswerComesLeavesNothingBehind() throws Exception {
        End client = asking("gone", "safe");
        End server = held.ask();
        held.hold();
        server.say("UP receipt\r\n");
        client.close();
        held.release();
        assertThat(server.hear()).as("the feed server's side ends too").isNull();
        nextIs("next");
        held.onLoop(() -> assertThat(held.relay.clients())
                .allMatch(c -> c.request().clientKey().equals("next")));
    }

    /** SIGTERM and the answer come in one turn: the client is served, and told to move before its side ends. */
    @Test
    void anAnswerThatCrossesTheStopIsPassedOnAndItsClientMoved() throws Exception {
        End client = asking("k", "safe");
        End server = held.ask();
        held.hold();
        CompletableFuture<Void> drained = new CompletableFuture<>();
        held.loop.execute(() -> held.relay.drain(held.lobby::peersWithoutRequest, () -> drained.complete(null)));
        server.say("UP receipt\r\n");
        held.release();
        assertThat(client.hear()).isEqualTo("UP receipt");
        assertThat(client.hear()).isEqualTo("MOVE");
        assertThat(client.hear()).isNull();
        drained.get(20, TimeUnit.SECONDS);
    }

    @Test
    void halfAnAnswerThatEndsMayHaveRun() throws Exception {
        End client = asking("k", "unsafe");
        End server = held.ask();
        held.hold();
        server.say("UP rec");
        server.close();
        held.release();
        assertThat(client.hear()).isEqualTo("ERR");
        assertThat(held.noAsk()).as("nothing was sent again").isTrue();
    }

    /** The first answer counts, though the second lies in the same piece. */
    @Test
    void aSecondAnswerChangesNothing() throws Exception {
        End client = asking("k", "unsafe");
        End first = held.ask();
        first.say("BUSY\r\nUP receipt\r\n");
        End second = held.ask();
        second.say("UP other\r\n");
        assertThat(client.hear()).isEqualTo("UP other");
    }

    /** What came right before the reset went with it: turned away, which never ran, counted as one that may have. */
    @Test
    void anAnswerRightBeforeAResetCounts() throws Exception {
        End client = asking("k", "unsafe");
        End first = held.ask();
        held.hold();
        first.say("BUSY\r\n");
        first.reset();
        held.release();
        End second = held.ask();
        assertThat(second.key).as("a request that never ran is tried again").isEqualTo("k");
        second.say("UP receipt\r\n");
        assertThat(client.hear()).isEqualTo("UP receipt");
    }

    /** Before, the client heard a reset and no MOVE. */
    @Test
    void aMoveRightBeforeAResetReachesTheClient() throws Exception {
        End client = standing("k");
        held.hold();
        client.other.say("MOVE\r\n");
        client.other.reset();
        held.release();
        assertThat(client.hear()).isEqualTo("MOVE");
        assertThat(client.hear()).as("an end, not a reset").isNull();
        held.onLoop(() -> assertThat(endings(ConnectionOutcome.SERVER_DRAINING)).isEqualTo(1));
    }

    @Test
    void aResetWithoutALastWordEndsTheClientsSideInTheSameWay() throws Exception {
        End client = standing("k");
        client.other.say("half a li");
        client.other.reset();
        assertThatThrownBy(client::hear).hasMessageContaining("reset");
    }

    /** The answer lay in the kernel while the relay was held up, and its client was moved for silence. */
    @Test
    void anAnswerThatCameWhileTheSilenceRanOutKeepsTheConnection() throws Exception {
        End client = standing("k");
        client.say("M 1\r\n");
        assertThat(client.other.hear()).isEqualTo("M 1");
        held.hold();
        client.other.say("M 1\r\n");
        held.releaseWhenDue();
        assertThat(client.hear()).isEqualTo("M 1");
        client.other.say("M 2\r\n");
        assertThat(client.hear()).isEqualTo("M 2");
    }

    /** Longer than any line may be, though its end came in the same piece. */
    @Test
    void anAnswerThatIsNoLineIsAnError() throws Exception {
        End client = asking("k", "unsafe");
        End first = held.ask();
        held.hold();
        first.say("UP " + "x".repeat(5_000) + "\r\n");
        held.release();
        assertThat(client.hear()).isEqualTo("ERR");
    }

    /** Whoever has not asked in time is told so; a line that came while the relay was held up has come in time. */
    @Test
    void aRequestThatCameWhileTheTimeToAskRanOutIsServed() throws Exception {
        End client = held.client();
        held.holdWhen(() -> held.lobby.peersWithoutRequest() == 1);
        held.loop.execute(() -> {});
        held.awaitHeld();
        client.say(held.open("k", "safe", 2_000));
        held.releaseWhenDue();
        assertThat(held.ask().key).isEqualTo("k");
    }

    /** A close over unread bytes is a reset, and a request that comes after our end must not be sent on. */
    @Test
    void aRequestThatComesAfterTheEndIsNeitherSentOnNorReset() throws Exception {
        End client = held.client();
        assertThat(client.hear()).as("told that its time to ask is over").isEqualTo("BUSY 1000");
        assertThat(client.hear()).isNull();
        client.say(held.open("late", "safe", 2_000));
        held.onLoop(() -> {});
        // the second write fails where the first was answered by a reset
        client.say("more\r\n");
        nextIs("next");
    }

    /** Between the last client's leaving and the process's end a request was sent on, to be lost with the process. */
    @Test
    void whoAsksARelayThatHasDrainedIsRefusedAtOnce() throws Exception {
        End resting = held.client();
        End second = held.client();
        held.onLoop(() -> {});
        CompletableFuture<Void> drained = new CompletableFuture<>();
        held.loop.execute(() -> held.relay.drain(held.lobby::peersWithoutRequest, () -> {
            held.lobby.stopWaitingForRequests();
            drained.complete(null);
        }));
        drained.get(20, TimeUnit.SECONDS);
        second.say(held.open("resting", "safe", 2_000));
        assertThat(resting.hear()).startsWith("BUSY ");
        assertThat(second.hear()).startsWith("BUSY ");
        assertThat(resting.hear()).isNull();
        End late = asking("late", "safe");
        assertThat(late.hear()).matches("BUSY [1-9][0-9]{0,2}");
        assertThat(held.noAsk()).as("requests sent on").isTrue();
        held.onLoop(() -> assertThat(held.relay.isDraining()).isTrue());
    }

    /** A way to a feed server that has taken the first bytes of the line and no more. */
    private End halfWritten() throws Exception {
        End way = held.way();
        byte[] begun = way.socket.getInputStream().readNBytes(HALF_A_LINE);
        assertThat(new String(begun, StandardCharsets.US_ASCII)).startsWith("OPEN ");
        return way;
    }

    private void isTriedAgain(End client) throws Exception {
        held.writes.unlimited();
        End second = held.ask();
        assertThat(second.key).as("what never ran is tried again").isEqualTo("k");
        second.say("UP receipt\r\n");
        assertThat(client.hear()).isEqualTo("UP receipt");
        assertThat(held.noAsk()).isTrue();
        held.onLoop(() -> assertThat(endings(ConnectionOutcome.NOT_CONNECTED)).isEqualTo(1));
    }

    /** What the feed server never had whole has not run, and may be repeated though its class is not safe. */
    @Test
    void aWayThatIsResetBeforeItsLineIsWholeNeverRan() throws Exception {
        held.writes.most(HALF_A_LINE);
        End client = asking("k", "unsafe");
        halfWritten().reset();
        held.untilOnLoop(() -> endings(ConnectionOutcome.NOT_CONNECTED) == 1);
        isTriedAgain(client);
    }

    @Test
    void aWayThatEndsBeforeItsLineIsWholeNeverRan() throws Exception {
        held.writes.most(HALF_A_LINE);
        End client = asking("k", "unsafe");
        End first = halfWritten();
        first.socket.shutdownOutput();
        assertThat(first.socket.getInputStream().read())
                .as("nothing more of the line came")
                .isEqualTo(-1);
        isTriedAgain(client);
    }

    /** Its feed server takes no more, and the relay gives up first. */
    @Test
    void aWayThatIsGivenUpBeforeItsLineIsWholeNeverRan() throws Exception {
        held.writes.most(HALF_A_LINE);
        End client = asking("k", "unsafe");
        assertThat(halfWritten().socket.getInputStream().read())
                .as("the end of the attempt")
                .isEqualTo(-1);
        isTriedAgain(client);
    }

    @Test
    void aWriteThatFailsInTheMiddleOfALineNeverRan() throws Exception {
        held.writes.most(HALF_A_LINE);
        End client = asking("k", "unsafe");
        halfWritten();
        held.writes.failOn(OTHER_HALF);
        isTriedAgain(client);
    }

    /** What the gap has taken away gets nothing new, and who stands there is moved or stays, and is not cut off. */
    @Test
    void aListThatComesWholeAfterAGapCountsForTheRequestThatCameWithIt() throws Exception {
        List<End> clients = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            clients.add(standing("k" + i));
        }
        held.server();
        held.hold();
        for (int i = 0; i < 6; i++) {
            clients.add(asking("k" + i, "safe"));
        }
        held.loop.execute(() -> held.relay.onEndpointList(new EndpointRegistry.Update(
                EndpointListKind.FULL,
                50,
                List.of(held.line(2, EndpointState.DRAINING), held.line(3, EndpointState.READY)))));
        held.release();
        for (int i = 0; i < 6; i++) {
            End ask = held.ask();
            assertThat(ask.at).isEqualTo("s3");
            ask.say("UP receipt\r\n");
        }
        for (End client : clients.subList(6, 12)) {
            assertThat(client.hear()).isEqualTo("UP receipt");
        }
        for (End client : clients.subList(0, 6)) {
            client.other.say("M 1\r\n");
            assertThat(client.hear()).isIn("M 1", "MOVE");
        }
    }

    /** The last word lay unread as the write failed, and the client heard a reset in place of it. */
    @Test
    void aMoveThatLiesUnreadAsAWriteFailsReachesTheClient() throws Exception {
        List<End> clients = new ArrayList<>();
        // whichever socket the relay looks at first, of some of them it is the client's
        for (int i = 0; i < 8; i++) {
            clients.add(standing("k" + i));
        }
        held.hold();
        for (End client : clients) {
            client.other.say("MOVE\r\n");
            client.say("M 1\r\n");
        }
        held.writes.failOn("M 1");
        held.release();
        for (End client : clients) {
            assertThat(client.hear()).isEqualTo("MOVE");
            assertThat(client.hear()).as("an end, not a reset").isNull();
        }
    }

    /** With its last byte written the same break leaves it open whether the request has run. */
    @Test
    void aWayThatIsResetOnceItsLineIsWholeMayHaveRun() throws Exception {
        held.writes.most(HALF_A_LINE);
        End client = asking("k", "unsafe");
        End first = halfWritten();
        held.writes.unlimited();
        assertThat(first.hear()).startsWith(OTHER_HALF);
        first.reset();
        assertThat(client.hear()).isEqualTo("ERR");
        assertThat(held.noAsk()).as("nothing was sent again").isTrue();
    }

    @Test
    void aClientThatLeavesBeforeItsLineIsWholeTakesTheRestAlong() throws Exception {
        held.writes.most(HALF_A_LINE);
        End client = asking("k", "safe");
        End first = halfWritten();
        client.close();
        assertThat(first.socket.getInputStream().read())
                .as("nothing more of the line came")
                .isEqualTo(-1);
        held.writes.unlimited();
        nextIs("next");
    }
}
