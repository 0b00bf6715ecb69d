package sandstack.measure.scale;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import sandstack.standin.FeedServer;
import sandstack.standin.Machine;
import sandstack.standin.StandInLoop;

/** The load of the measurements, straight at a stand-in feed server. */
class ClientPoolTest {
    private static final int CAP = 50;

    private StandInLoop yard;

    @BeforeEach
    void open() throws IOException {
        yard = new StandInLoop();
    }

    @AfterEach
    void close() {
        yard.close();
    }

    private FeedServer server(Machine machine) {
        return yard.make(() -> new FeedServer(yard, "s0", "home", machine));
    }

    private ClientPool pool(FeedServer server) {
        return yard.on(() -> new ClientPool(yard, server.port()));
    }

    private ClientPool.Counts grow(ClientPool pool, int connections) throws InterruptedException {
        yard.run(() -> pool.growTo(connections, 8));
        await(pool::isSettled);
        return yard.on(pool::counts);
    }

    private void await(BooleanSupplier holds) throws InterruptedException {
        for (int i = 0; i < 500 && !yard.on(holds::getAsBoolean); i++) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertThat(yard.on(holds::getAsBoolean)).isTrue();
    }

    @Test
    void growsToExactlySoManyAndOnFromThere() throws InterruptedException {
        FeedServer server = server(Machine.IDLE);
        ClientPool pool = pool(server);

        assertThat(grow(pool, 30)).isEqualTo(new ClientPool.Counts(30, 0, 30, 30, 0, 0, 0));
        assertThat(grow(pool, 45)).isEqualTo(new ClientPool.Counts(45, 0, 45, 45, 0, 0, 0));
        assertThat(yard.on(server::books).standing()).isEqualTo(45);
    }

    @Test
    void givesUpWhereTheServerIsFullAndCountsTheRefused() throws InterruptedException {
        ClientPool.Counts count = grow(pool(server(Machine.IDLE.holding(CAP, false))), 500);

        assertThat(count.established()).isEqualTo(CAP);
        assertThat(count.rejected()).isBetween((long) ClientPool.MAX_UNSERVED, ClientPool.MAX_UNSERVED + 8L);
        assertThat(count.failed() + count.lost()).isZero();
    }

    @Test
    void givesUpWhereNobodyListens() throws InterruptedException {
        FeedServer server = server(Machine.IDLE);
        yard.run(server::kill);

        ClientPool.Counts count = grow(pool(server), 500);

        assertThat(count.established()).isZero();
        assertThat(count.failed()).isBetween((long) ClientPool.MAX_UNSERVED, ClientPool.MAX_UNSERVED + 8L);
    }

    @Test
    void tellsLossesFromItsOwnResets() throws InterruptedException {
        FeedServer server = server(Machine.IDLE);
        ClientPool pool = pool(server);
        grow(pool, 30);

        yard.run(() -> pool.resetOldest(10));
        await(() -> server.books().standing() == 20);
        assertThat(yard.on(pool::counts).lost()).isZero();
        assertThat(yard.on(pool::counts).established()).isEqualTo(20);

        yard.run(server::kill);
        await(() -> pool.counts().established() == 0);
        assertThat(yard.on(pool::counts).lost()).isEqualTo(20);
    }

    @Test
    void sendsOneLineToEachConnection() throws InterruptedException {
        FeedServer server = server(Machine.IDLE);
        ClientPool pool = pool(server);
        DeliveryLoad deliveries = yard.on(() -> new DeliveryLoad(yard, pool));
        grow(pool, 25);

        yard.run(() -> deliveries.sendOneToEach(List.of(server)));
        await(() -> deliveries.result().arrived() == 25);
        assertThat(yard.on(deliveries::result).sent()).isEqualTo(25);
    }

    @Test
    void deliversAtItsRateToAllInTurnAndTimesEachLine() throws InterruptedException {
        FeedServer server = server(Machine.IDLE);
        ClientPool pool = pool(server);
        DeliveryLoad deliveries = yard.on(() -> new DeliveryLoad(yard, pool));
        grow(pool, 10);

        yard.run(() -> deliveries.start(List.of(server), 1_000));
        TimeUnit.MILLISECONDS.sleep(500);
        yard.run(deliveries::stop);
        await(() -> deliveries.result().arrived() == deliveries.result().sent());

        DeliveryLoad.Result result = yard.on(deliveries::result);
        assertThat(result.sent()).isBetween(400L, 700L);
        assertThat(result.medianMicros()).isBetween(1L, result.p99Micros());
        yard.run(deliveries::reset);
        assertThat(yard.on(deliveries::result).sent()
                        + yard.on(deliveries::result).arrived())
                .isZero();
    }
}
