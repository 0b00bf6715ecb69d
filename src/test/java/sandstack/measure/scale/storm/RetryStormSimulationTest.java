package sandstack.measure.scale.storm;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import sandstack.measure.scale.ScaleMeasurement.Effort;
import sandstack.measure.scale.Series;

/**
 * Simulated retry storms after the loss of a zone of the planned fleet, by client behaviour and backoff. All
 * simulations use the same seed, so their results are the same in each run.
 */
class RetryStormSimulationTest {
    private static final RetryStormSettings PLANNED = RetryStormSettings.planned();

    private static RetryStormResult simulate(RetryStormSettings settings, ClientBehaviour behaviour) {
        return new RetryStormSimulation(settings, behaviour, 2, 11).run();
    }

    /** Each remaining relay has to accept about 11,500 of the lost clients. */
    @Test
    void plannedFleetLosesOneZoneOfClients() {
        assertThat(PLANNED.lostClients()).isEqualTo(56_280_000);
        assertThat(PLANNED.remainingRelays()).isEqualTo(4_900);
        assertThat(PLANNED.minSeconds()).isBetween(20.1, 20.2);
    }

    @ParameterizedTest
    @EnumSource(ClientBehaviour.class)
    void withFreeRejectionsAllClientsReconnectNoFasterThanRelaysSetUp(ClientBehaviour behaviour) {
        RetryStormResult result = simulate(PLANNED, behaviour);
        assertThat(result.secondsUntilAll())
                .isBetween(PLANNED.minSeconds() - PLANNED.admission().maxQueueMicros() / 1e6, 60.0);
        assertThat(result.attemptsPerClient()).isCloseTo(1 + result.rejectionsPerClient(), within(1e-9));
        double attempts = 0;
        for (double second : result.attemptsPerSecond()) {
            attempts += second;
        }
        double clientsPerRelay = PLANNED.lostClients() / (double) PLANNED.remainingRelays();
        assertThat(attempts / clientsPerRelay)
                .isBetween(0.999 * result.attemptsPerClient(), 1.001 * result.attemptsPerClient());
        double maxSetupsAtFeedServer = PLANNED.admission().setupsPerSecond()
                * PLANNED.remainingRelays()
                / PLANNED.fleet().feedServers();
        assertThat(result.peakAtFeedServer()).isBetween(0.9 * maxSetupsAtFeedServer, 1.001 * maxSetupsAtFeedServer);
    }

    @Test
    void retryAfterGivesFallingRateAndRetriesWithoutItGivePeaks() {
        double[] withRetryAfter =
                simulate(PLANNED, ClientBehaviour.AT_ONCE_THEN_ADVICE).attemptsPerSecond();
        for (int second = 1; second < withRetryAfter.length; second++) {
            // the intervals of successive retries do not overlap, so the rate never rises, apart from random variation
            assertThat(withRetryAfter[second]).isLessThan(1.05 * withRetryAfter[second - 1] + 20);
        }
        RetryStormResult withoutRetryAfter = simulate(PLANNED, ClientBehaviour.AT_ONCE);
        assertThat(withoutRetryAfter.peakAttempts())
                .isGreaterThan(1.5
                        * simulate(PLANNED, ClientBehaviour.AT_ONCE_THEN_ADVICE).peakAttempts());
        assertThat(withoutRetryAfter.attemptsPerClient())
                .isGreaterThan(5 * simulate(PLANNED, ClientBehaviour.SPREAD).attemptsPerClient());
    }

    @Test
    void longerLastIntervalShortensOverloadAndSavesAttempts() {
        RetryStormResult planned = simulate(PLANNED, ClientBehaviour.SPREAD_THEN_ADVICE);
        RetryStormResult longer = simulate(PLANNED.withLastInterval(11), ClientBehaviour.SPREAD_THEN_ADVICE);
        assertThat(longer.overloadedSeconds()).isLessThan(planned.overloadedSeconds());
        assertThat(longer.attemptsPerClient()).isLessThan(planned.attemptsPerClient());
    }

    /** The first interval, of 38.4 s, is longer than the 20 s that the relays need at least to set up all clients. */
    @Test
    void longFirstIntervalEndsOverloadAfterFirstAttempts() {
        RetryStormResult planned = simulate(PLANNED, ClientBehaviour.SPREAD_THEN_ADVICE);
        RetryStormResult longFirst = simulate(PLANNED.withFirstInterval(11), ClientBehaviour.SPREAD_THEN_ADVICE);
        assertThat(longFirst.overloadedSeconds()).isLessThanOrEqualTo(2).isLessThan(planned.overloadedSeconds());
        assertThat(longFirst.attemptsPerClient()).isLessThan(planned.attemptsPerClient() / 3);
    }

    @Test
    void withCostlyRejectionsClientsNeedRetryAfterToReconnect() {
        RetryStormResult withoutRetryAfter = simulate(PLANNED.withRejectionCost(0.1), ClientBehaviour.SPREAD);
        assertThat(withoutRetryAfter.secondsUntil99Percent()).isEqualTo(-1);
        RetryStormResult withRetryAfter = simulate(PLANNED.withRejectionCost(0.1), ClientBehaviour.SPREAD_THEN_ADVICE);
        assertThat(withRetryAfter.secondsUntilAll()).isPositive();
    }

    @Test
    void attemptsGrowWithFleetAtFeedServersButNotAtRelays() {
        List<Series> all = new RetryStormScale().measure(Effort.SMALL);
        assertThat(new RetryStormScale().measure(Effort.SMALL)).isEqualTo(all);
        assertThat(growth(all, "storm.spread.attempts-at-relay")).isBetween(0.9, 1.1);
        assertThat(growth(all, "storm.spread.attempts-at-feed-server")).isBetween(80.0, 120.0);
    }

    private static double growth(List<Series> all, String id) {
        Series series = all.stream().filter(s -> s.id().equals(id)).findFirst().orElseThrow();
        return series.points().get(series.points().size() - 1).value()
                / series.points().get(0).value();
    }
}
