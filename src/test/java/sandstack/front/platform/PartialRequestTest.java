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
 * A valid request cut at every byte, on real sockets: an incomplete one is closed and not forwarded, one that is
 * completed later is answered as usual, and neither leaves state behind.
 */
@Timeout(60)
class PartialRequestTest {
    private static final String REQUEST = "OPEN 9b1f03aa5c7e2d41 whole c=safe,d=5000,g=5c0f6e1a2b3d4c59,h=12.5\r\n";
    private static final Logger PROGRAM = Logger.getLogger("sandstack");

    private final List<String> logged = new ArrayList<>();
    private final Handler log = new Handler() {
        @Override
        public synchronized void publish(LogRecord line) {
            logged.add(line.getMessage());
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
        PROGRAM.addHandler(log);
    }

    @AfterEach
    void stop() throws Exception {
        PROGRAM.removeHandler(log);
        pausableRelay.close();
    }

    /** What the client does after this many bytes of a request. */
    private interface Cut {
        void at(int bytes) throws Exception;
    }

    /** Cuts inside the request at each byte; after each cut, the complete request is served under the same id. */
    private void cutAtEveryByte(Cut cut) throws Exception {
        for (int bytes = 1; bytes < REQUEST.length(); bytes++) {
            cut.at(bytes);
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
            assertThat(server.key).isEqualTo("whole");
            server.send("UP receipt\r\n");
            assertThat(client.readLine()).isEqualTo("UP receipt");
            // the client closes first: a feed server that closes a new connection would count as a full one
            client.close();
            assertThat(server.readLine()).isNull();
        }
    }

    private void assertNothingLeft() throws Exception {
        pausableRelay.awaitOnLoop(() -> pausableRelay.admission.descriptorsInUse() == 0
                && pausableRelay.relay.clients().isEmpty());
        assertThat(pausableRelay.noUpstreamRequest()).as("requests forwarded").isTrue();
        assertThat(logged).isEmpty();
    }

    /** A client that has sent this text, which the relay has read. */
    private RemoteEnd saying(int bytes) throws Exception {
        RemoteEnd client = pausableRelay.client();
        client.send(REQUEST.substring(0, bytes));
        pausableRelay.awaitOnLoop(() -> pausableRelay.admission.peersWithoutRequest() == 1);
        // what was written before this turn is read in this turn or the one before
        pausableRelay.onLoop(() -> {});
        return client;
    }

    @Test
    void incompleteRequestThatEndsIsClosedAtOnce() throws Exception {
        cutAtEveryByte(bytes -> {
            try (RemoteEnd client = pausableRelay.client()) {
                client.send(REQUEST.substring(0, bytes));
                client.socket.shutdownOutput();
                assertThat(client.readLine()).isNull();
            }
        });
    }

    @Test
    void incompleteRequestThatEndsAfterAPauseIsClosedAtOnce() throws Exception {
        cutAtEveryByte(bytes -> {
            try (RemoteEnd client = saying(bytes)) {
                client.socket.shutdownOutput();
                assertThat(client.readLine()).isNull();
            }
        });
    }

    @Test
    void incompleteRequestThatIsResetLeavesNothing() throws Exception {
        cutAtEveryByte(bytes -> {
            RemoteEnd client = pausableRelay.client();
            client.send(REQUEST.substring(0, bytes));
            client.reset();
        });
    }

    @Test
    void incompleteRequestThatIsResetAfterAPauseLeavesNothing() throws Exception {
        cutAtEveryByte(bytes -> saying(bytes).reset());
    }

    @Test
    void requestCompletedAfterAPauseIsServed() throws Exception {
        cutAtEveryByte(bytes -> {
            try (RemoteEnd client = saying(bytes)) {
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

    /** All cuts at once: each client is rejected at the request timeout, and the rest of a request is not forwarded. */
    @Test
    void incompleteRequestIsRejectedAtTheTimeout() throws Exception {
        List<RemoteEnd> clients = new ArrayList<>();
        // as many as the descriptors of this relay allow
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
            rest(clients.get(i), REQUEST.substring(1 + 3 * i));
        }
        assertNothingLeft();
    }

    private static void rest(RemoteEnd client, String text) throws IOException {
        try (client) {
            client.send(text);
        }
    }
}
