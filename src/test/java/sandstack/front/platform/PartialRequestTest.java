package sandstack.front.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import sandstack.front.platform.PausableRelay.RemoteEnd;

/**
 * A valid request interrupted after each of its bytes, on real sockets. The connection of an incomplete request is
 * closed and the request is not forwarded, one that is completed later is answered as usual, and neither leaves
 * connections or clients in the relay.
 */
@Timeout(60)
class PartialRequestTest {
    private static final String REQUEST = "OPEN 9b1f03aa5c7e2d41 whole c=safe,d=5000,g=5c0f6e1a2b3d4c59,h=12.5\r\n";
    private static final Logger SANDSTACK_LOGGER = Logger.getLogger("sandstack");

    private final List<String> logMessages = new ArrayList<>();
    private final Handler logHandler = new Handler() {
        @Override
        public synchronized void publish(LogRecord logRecord) {
            logMessages.add(logRecord.getMessage());
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    };
    private PausableRelay pausableRelay;

    @BeforeEach
    void start() throws Exception {
        pausableRelay = new PausableRelay();
        pausableRelay.addServer();
        pausableRelay.addServer();
        SANDSTACK_LOGGER.addHandler(logHandler);
    }

    @AfterEach
    void stop() throws Exception {
        SANDSTACK_LOGGER.removeHandler(logHandler);
        pausableRelay.close();
    }

    /** Sends the first bytes of {@link #REQUEST} from a client, which then interrupts the request. */
    private interface Interruption {
        void after(int bytes) throws Exception;
    }

    /** Interrupts the request after each of its bytes; then the complete request is served under the same id. */
    private void interruptAfterEveryByte(Interruption interruption) throws Exception {
        for (int bytes = 1; bytes < REQUEST.length(); bytes++) {
            interruption.after(bytes);
        }
        try (RemoteEnd client = pausableRelay.client()) {
            client.send(REQUEST);
            assertServed(client);
        }
        assertNothingLeft();
    }

    /**
     * Asserts that the next request to reach a feed server is this client's, and that its answer reaches the client.
     */
    private void assertServed(RemoteEnd client) throws Exception {
        try (RemoteEnd server = pausableRelay.nextUpstreamRequest()) {
            assertThat(server.clientKey).isEqualTo("whole");
            server.send("UP receipt\r\n");
            assertThat(client.readLine()).isEqualTo("UP receipt");
            // the client closes first: a feed server that closes a new connection counts as one at its connection limit
            client.close();
            assertThat(server.readLine()).isNull();
        }
    }

    private void assertNothingLeft() throws Exception {
        pausableRelay.awaitOnLoop(() -> pausableRelay.admission.descriptorsInUse() == 0
                && pausableRelay.relay.clients().isEmpty());
        assertThat(pausableRelay.noUpstreamRequest())
                .as("no request is forwarded")
                .isTrue();
        assertThat(logMessages).isEmpty();
    }

    /** A client that has sent this many bytes of the request, which the relay has read. */
    private RemoteEnd clientWithPartialRequest(int bytes) throws Exception {
        RemoteEnd client = pausableRelay.client();
        client.send(REQUEST.substring(0, bytes));
        pausableRelay.awaitOnLoop(() -> pausableRelay.admission.peersWithoutRequest() == 1);
        // after one more complete turn, the relay has read what the client wrote before it
        pausableRelay.onLoop(() -> {});
        return client;
    }

    @Test
    void incompleteRequestThatEndsIsClosedAtOnce() throws Exception {
        interruptAfterEveryByte(bytes -> {
            try (RemoteEnd client = pausableRelay.client()) {
                client.send(REQUEST.substring(0, bytes));
                client.socket.shutdownOutput();
                assertThat(client.readLine()).isNull();
            }
        });
    }

    @Test
    void incompleteRequestThatEndsAfterAPauseIsClosedAtOnce() throws Exception {
        interruptAfterEveryByte(bytes -> {
            try (RemoteEnd client = clientWithPartialRequest(bytes)) {
                client.socket.shutdownOutput();
                assertThat(client.readLine()).isNull();
            }
        });
    }

    @Test
    void incompleteRequestThatIsResetLeavesNothing() throws Exception {
        interruptAfterEveryByte(bytes -> {
            RemoteEnd client = pausableRelay.client();
            client.send(REQUEST.substring(0, bytes));
            client.reset();
        });
    }

    @Test
    void incompleteRequestThatIsResetAfterAPauseLeavesNothing() throws Exception {
        interruptAfterEveryByte(bytes -> clientWithPartialRequest(bytes).reset());
    }

    @Test
    void requestCompletedAfterAPauseIsServed() throws Exception {
        interruptAfterEveryByte(bytes -> {
            try (RemoteEnd client = clientWithPartialRequest(bytes)) {
                client.send(REQUEST.substring(bytes));
                assertServed(client);
            }
            pausableRelay.awaitOnLoop(() -> pausableRelay.admission.descriptorsInUse() == 0);
        });
    }

    @Test
    void requestSentByteByByteIsServed() throws Exception {
        try (RemoteEnd client = pausableRelay.client()) {
            for (int i = 0; i < REQUEST.length(); i++) {
                client.send(REQUEST.substring(i, i + 1));
                pausableRelay.onLoop(() -> {});
            }
            assertServed(client);
        }
        assertNothingLeft();
    }

    /**
     * Many clients at once, each with a request of another length: each is rejected at the request timeout, and a
     * request whose rest arrives later is not forwarded.
     */
    @Test
    void incompleteRequestIsRejectedAtTheTimeout() throws Exception {
        List<RemoteEnd> clients = new ArrayList<>();
        // every third length: the relay has not enough descriptors for all of them
        for (int bytes = 1; bytes < REQUEST.length(); bytes += 3) {
            RemoteEnd client = pausableRelay.client();
            client.send(REQUEST.substring(0, bytes));
            clients.add(client);
        }
        for (RemoteEnd client : clients) {
            assertThat(client.readLine()).isEqualTo("BUSY 1000");
            assertThat(client.readLine()).isNull();
        }
        for (int i = 0; i < clients.size(); i++) {
            sendAndClose(clients.get(i), REQUEST.substring(1 + 3 * i));
        }
        assertNothingLeft();
    }

    private static void sendAndClose(RemoteEnd client, String text) throws IOException {
        try (client) {
            client.send(text);
        }
    }
}
