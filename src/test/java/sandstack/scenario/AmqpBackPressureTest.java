package sandstack.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import sandstack.net.Peer;

/** Guards against a heap full of transfers that wait for AMQP clients that do not read. */
@Timeout(60)
class AmqpBackPressureTest {
    /** More than the socket buffers on the way hold. */
    private static final int TRANSFER_BYTES = 40_000_000;
    /** What a connection may buffer while the heap is short: a frame received and a frame to send. */
    private static final long MAX_BUFFERED_BYTES = 2L * Peer.BUFFER_LIMIT_BYTES;

    @Test
    void forwardingWaitsForAClientThatDoesNotReadWhileTheHeapIsShort() throws Exception {
        try (ScenarioFixture fixture = new ScenarioFixture(true)) {
            fixture.addServers(1);
            Actor client = fixture.client();
            client.send("subscribe order-status k1 2000");
            Actor server = fixture.nextUpstreamRequest();
            assertThat(server.next()).isEqualTo("ask order-status");
            server.send("up");
            assertThat(client.next()).isEqualTo("up");
            client.send("credit 1");
            assertThat(server.next()).isEqualTo("credit 1");
            long idleBytes = fixture.usedHeapBytes();
            fixture.setHeapLimitBytes(idleBytes - 1);
            Thread sending = new Thread(() -> sendTransfer(server));
            // the client's reader thread needs this lock
            synchronized (client) {
                sending.start();
                long before = -1;
                for (long now = 0; now != before; now = fixture.usedHeapBytes()) {
                    before = now;
                    assertThat(fixture.usedHeapBytes() - idleBytes).isLessThanOrEqualTo(MAX_BUFFERED_BYTES);
                    TimeUnit.MILLISECONDS.sleep(500);
                }
                assertThat(sending.isAlive())
                        .as("the feed server is still sending")
                        .isTrue();
            }
            assertThat(client.next()).isEqualTo("line " + TRANSFER_BYTES + " bytes");
            sending.join();
        }
    }

    private static void sendTransfer(Actor server) {
        try {
            server.send("big " + TRANSFER_BYTES);
        } catch (Exception e) {
            server.events.add("not sent: " + e);
        }
    }
}
