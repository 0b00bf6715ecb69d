package sandstack.front.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import sandstack.front.platform.PausableRelay.RemoteEnd;
import sandstack.net.FinalFlush;

/** Guards against a process that ends before a client that reads slowly has been sent MOVE. */
@Timeout(60)
class FinalFlushTest {
    private static final String UP = "UP receipt\r\n";

    private final CompletableFuture<Void> flushed = new CompletableFuture<>();
    private PausableRelay relay;
    private RemoteEnd client;

    @BeforeEach
    void establishAClientThatDoesNotRead() throws Exception {
        relay = new PausableRelay();
        relay.addServer();
        client = relay.client();
        client.send(relay.openLine("key", "safe", 2_000));
        RemoteEnd server = relay.nextUpstreamRequest();
        server.send(UP);
        assertThat(client.readLine()).isEqualTo(UP.trim());
        relay.writes.limit(UP.length());
    }

    @AfterEach
    void stop() throws Exception {
        relay.close();
    }

    /** Drains the relay, and then waits for its output until this time after the drain. */
    private void drain(long flushMicros) throws Exception {
        CompletableFuture<Void> drained = new CompletableFuture<>();
        relay.loop.execute(() -> relay.relay.drain(() -> 0, () -> drained.complete(null)));
        drained.get(20, TimeUnit.SECONDS);
        relay.loop.execute(() -> new FinalFlush(relay.loop, relay.relay.deadlines(), relay.admission)
                .begin(relay.loop.nowMicros() + flushMicros, () -> flushed.complete(null)));
    }

    @Test
    void waitsForAClientThatReadsLate() throws Exception {
        drain(20_000_000);
        assertThatThrownBy(() -> flushed.get(500, TimeUnit.MILLISECONDS)).isInstanceOf(TimeoutException.class);
        relay.writes.unlimited();
        flushed.get(20, TimeUnit.SECONDS);
        assertThat(client.readLine()).isEqualTo("MOVE");
    }

    @Test
    void endsAtTheDeadlineAllTheSame() throws Exception {
        drain(300_000);
        flushed.get(20, TimeUnit.SECONDS);
    }
}
