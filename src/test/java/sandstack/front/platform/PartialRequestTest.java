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
 * A legal request cut at every byte, on real sockets: what is not whole gets a close and is not sent on, what becomes whole
 * gets the answer that it would have had in one piece, and neither leaves anything behind.
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
    private PausableRelay held;

    @BeforeEach
    void start() throws Exception {
        held = new PausableRelay();
        held.addServer();
        held.addServer();
        PROGRAM.addHandler(log);
    }

    @AfterEach
    void stop() throws Exception {
        PROGRAM.removeHandler(log);
        held.close();
    }

    /** What happens after so many bytes of a request. */
    private interface Cut {
        void at(int bytes) throws Exception;
    }

    /** At each byte of the request but the ends; the whole request is served after each cut, under the same id. */
    private void cutAtEveryByte(Cut cut) throws Exception {
        for (int bytes = 1; bytes < REQUEST.length(); bytes++) {
            cut.at(bytes);
        }
        try (RemoteEnd client = held.client()) {
            client.send(REQUEST);
            assertServed(client);
        }
        assertNothingLeft();
    }

    /** The next request that reaches a feed server is this client's, and its answer reaches it. */
    private void assertServed(RemoteEnd client) throws Exception {
        try (RemoteEnd server = held.nextUpstreamRequest()) {
            assertThat(server.key).isEqualTo("whole");
            server.send("UP receipt\r\n");
            assertThat(client.readLine()).isEqualTo("UP receipt");
            // the client goes first: a feed server that ended what it has just taken would count as a full one
            client.close();
            assertThat(server.readLine()).isNull();
        }
    }

    private void assertNothingLeft() throws Exception {
        held.awaitOnLoop(() ->
                held.admission.descriptorsInUse() == 0 && held.relay.clients().isEmpty());
        assertThat(held.noUpstreamRequest()).as("requests sent on").isTrue();
        assertThat(logged).isEmpty();
    }

    /** A client that has said so much, and whom the relay has heard. */
    private RemoteEnd saying(int bytes) throws Exception {
        RemoteEnd client = held.client();
        client.send(REQUEST.substring(0, bytes));
        held.awaitOnLoop(() -> held.admission.peersWithoutRequest() == 1);
        // what was written before this turn is read in this turn or the one before
        held.onLoop(() -> {});
        return client;
    }

    @Test
    void incompleteRequestThatEndsIsClosedAtOnce() throws Exception {
        cutAtEveryByte(bytes -> {
            try (RemoteEnd client = held.client()) {
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
            RemoteEnd client = held.client();
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
            held.awaitOnLoop(() -> held.admission.descriptorsInUse() == 0);
        });
    }

    @Test
    void requestSentByteByByteIsServed() throws Exception {
        try (RemoteEnd client = held.client()) {
            for (int i = 0; i < REQUEST.length(); i++) {
                client.send(REQUEST.substring(i, i + 1));
                held.onLoop(() -> {});
            }
            assertServed(client);
        }
        assertNothingLeft();
    }

    /** All of them at once: each is told that its time to ask is over, and who goes on then is not sent on. */
    @Test
    void incompleteRequestIsRejectedAtTheTimeout() throws Exception {
        List<RemoteEnd> clients = new ArrayList<>();
        // the relay of this test has room for so many
        for (int bytes = 1; bytes < REQUEST.length(); bytes += 3) {
            RemoteEnd client = held.client();
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
