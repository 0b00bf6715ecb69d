package sandstack.measure.scale;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import sandstack.testserver.FakeFeedServer;
import sandstack.testserver.ServerProfile;
import sandstack.testserver.TestServerLoop;

/** {@link ClientPool} and {@link DeliveryLoad}, connected directly to a {@link FakeFeedServer}. */
class ClientPoolTest {
    private static final int CONNECTION_LIMIT = 50;

    private TestServerLoop loop;

    @BeforeEach
    void open() throws IOException {
        loop = new TestServerLoop();
    }

    @AfterEach
    void close() {
        loop.close();
    }

    private FakeFeedServer server(ServerProfile profile) {
        return loop.create(() -> new FakeFeedServer(loop, "s0", "home", profile));
    }

    private ClientPool pool(FakeFeedServer server) {
        return loop.call(() -> new ClientPool(loop, server.port()));
    }

    private ClientPool.Counts grow(ClientPool pool, int connections) throws InterruptedException {
        loop.run(() -> pool.growTo(connections, 8));
        await(pool::isSettled);
        return loop.call(pool::counts);
    }

    private void await(BooleanSupplier condition) throws InterruptedException {
        for (int i = 0; i < 500 && !loop.call(condition::getAsBoolean); i++) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertThat(loop.call(condition::getAsBoolean)).isTrue();
    }

    @Test
    void growsToTargetRepeatedly() throws InterruptedException {
        FakeFeedServer server = server(ServerProfile.UNLIMITED);
        ClientPool pool = pool(server);

        assertThat(grow(pool, 30)).isEqualTo(new ClientPool.Counts(30, 0, 30, 30, 0, 0, 0));
        assertThat(grow(pool, 45)).isEqualTo(new ClientPool.Counts(45, 0, 45, 45, 0, 0, 0));
        assertThat(loop.call(server::counters).established()).isEqualTo(45);
    }

    @Test
    void givesUpAndCountsRejectionsWhenServerIsFull() throws InterruptedException {
        ClientPool.Counts counts =
                grow(pool(server(ServerProfile.UNLIMITED.withConnectionLimit(CONNECTION_LIMIT, false))), 500);

        assertThat(counts.established()).isEqualTo(CONNECTION_LIMIT);
        assertThat(counts.rejected()).isBetween((long) ClientPool.MAX_UNSERVED, ClientPool.MAX_UNSERVED + 8L);
        assertThat(counts.failed() + counts.lost()).isZero();
    }

    @Test
    void givesUpWhenPortIsClosed() throws InterruptedException {
        FakeFeedServer server = server(ServerProfile.UNLIMITED);
        loop.run(server::kill);

        ClientPool.Counts counts = grow(pool(server), 500);

        assertThat(counts.established()).isZero();
        assertThat(counts.failed()).isBetween((long) ClientPool.MAX_UNSERVED, ClientPool.MAX_UNSERVED + 8L);
    }

    @Test
    void countsLossesButNotOwnResets() throws InterruptedException {
        FakeFeedServer server = server(ServerProfile.UNLIMITED);
        ClientPool pool = pool(server);
        grow(pool, 30);

        loop.run(() -> pool.resetOldest(10));
        await(() -> server.counters().established() == 20);
        assertThat(loop.call(pool::counts).lost()).isZero();
        assertThat(loop.call(pool::counts).established()).isEqualTo(20);

        loop.run(server::kill);
        await(() -> pool.counts().established() == 0);
        assertThat(loop.call(pool::counts).lost()).isEqualTo(20);
    }

    @Test
    void sendsOneLineToEachConnection() throws InterruptedException {
        FakeFeedServer server = server(ServerProfile.UNLIMITED);
        ClientPool pool = pool(server);
        DeliveryLoad deliveries = loop.call(() -> new DeliveryLoad(loop, pool));
        grow(pool, 25);

        loop.run(() -> deliveries.sendOneToEach(List.of(server)));
        await(() -> deliveries.result().arrived() == 25);
        assertThat(loop.call(deliveries::result).sent()).isEqualTo(25);
    }

    @Test
    void sendsAtRateAndRecordsDelays() throws InterruptedException {
        FakeFeedServer server = server(ServerProfile.UNLIMITED);
        ClientPool pool = pool(server);
        DeliveryLoad deliveries = loop.call(() -> new DeliveryLoad(loop, pool));
        grow(pool, 10);

        loop.run(() -> deliveries.start(List.of(server), 1_000));
        TimeUnit.MILLISECONDS.sleep(500);
        loop.run(deliveries::stop);
        await(() -> deliveries.result().arrived() == deliveries.result().sent());

        DeliveryLoad.Result result = loop.call(deliveries::result);
        assertThat(result.sent()).isBetween(400L, 700L);
        assertThat(result.medianMicros()).isBetween(1L, result.p99Micros());
        loop.run(deliveries::reset);
        assertThat(loop.call(deliveries::result).sent()
                        + loop.call(deliveries::result).arrived())
                .isZero();
    }
}
