package sandstack.measure.scale.storm;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import sandstack.measure.scale.ScaleMeasurement.Effort;
import sandstack.measure.scale.Series;

/** The return of a lost zone's clients: the same seed, the same figures. */
class RetryStormSimulationTest {
    private static final RetryStormSettings PLANNED = RetryStormSettings.planned();

    private static RetryStormResult play(RetryStormSettings setting, ClientBehaviour behaviour) {
        return new RetryStormSimulation(setting, behaviour, 2, 11).run();
    }

    @Test
    void thePlannedFleetLosesFiftySixMillionClientsOfWhomEachRelayHasToTakeElevenThousand() {
        assertThat(PLANNED.lostClients()).isEqualTo(56_280_000);
        assertThat(PLANNED.remainingRelays()).isEqualTo(4_900);
        assertThat(PLANNED.minSeconds()).isBetween(20.1, 20.2);
    }

    @ParameterizedTest
    @EnumSource(ClientBehaviour.class)
    void allComeBackWhereRefusalsCostNothingAndNoSoonerThanRelaysCanSetThemUp(ClientBehaviour behaviour) {
        RetryStormResult result = play(PLANNED, behaviour);
        assertThat(result.secondsUntilAll())
                .isBetween(PLANNED.minSeconds() - PLANNED.admission().maxQueueMicros() / 1e6, 60.0);
        assertThat(result.attemptsPerClient()).isCloseTo(1 + result.rejectionsPerClient(), within(1e-9));
        double attempts = 0;
        for (double second : result.attemptsPerSecond()) {
            attempts += second;
        }
        double clientsEach = PLANNED.lostClients() / (double) PLANNED.remainingRelays();
        assertThat(attempts / clientsEach)
                .isBetween(0.999 * result.attemptsPerClient(), 1.001 * result.attemptsPerClient());
        double mostSetUps = PLANNED.admission().setupsPerSecond()
                * PLANNED.remainingRelays()
                / PLANNED.fleet().feedServers();
        assertThat(result.peakAtFeedServer()).isBetween(0.9 * mostSetUps, 1.001 * mostSetUps);
    }

    @Test
    void whoHeedsTheAdviceComesAtAFallingRateAndWhoDoesNotComesInCrowds() {
        double[] advised = play(PLANNED, ClientBehaviour.AT_ONCE_THEN_ADVICE).attemptsPerSecond();
        for (int second = 1; second < advised.length; second++) {
            // generations do not overlap: but for chance no second sees more than the one before
            assertThat(advised[second]).isLessThan(1.05 * advised[second - 1] + 20);
        }
        RetryStormResult crowd = play(PLANNED, ClientBehaviour.AT_ONCE);
        assertThat(crowd.peakAttempts())
                .isGreaterThan(
                        1.5 * play(PLANNED, ClientBehaviour.AT_ONCE_THEN_ADVICE).peakAttempts());
        assertThat(crowd.attemptsPerClient())
                .isGreaterThan(5 * play(PLANNED, ClientBehaviour.SPREAD).attemptsPerClient());
    }

    @Test
    void longerIntervalsEndTheFrontSoonerAndWasteFewerAttempts() {
        RetryStormResult present = play(PLANNED, ClientBehaviour.SPREAD_THEN_ADVICE);
        RetryStormResult longer = play(PLANNED.withLastInterval(11), ClientBehaviour.SPREAD_THEN_ADVICE);
        assertThat(longer.overloadedSeconds()).isLessThan(present.overloadedSeconds());
        assertThat(longer.attemptsPerClient()).isLessThan(present.attemptsPerClient());
    }

    @Test
    void adviceThatBeginsAsWideAsTheCrowdEndsTheFrontAfterTheFirstAttempts() {
        RetryStormResult doubling = play(PLANNED, ClientBehaviour.SPREAD_THEN_ADVICE);
        RetryStormResult wide = play(PLANNED.withFirstInterval(11), ClientBehaviour.SPREAD_THEN_ADVICE);
        assertThat(wide.overloadedSeconds()).isLessThanOrEqualTo(2).isLessThan(doubling.overloadedSeconds());
        assertThat(wide.attemptsPerClient()).isLessThan(doubling.attemptsPerClient() / 3);
    }

    @Test
    void whereARefusalCostsATenthOfASetUpAnUnadvisedCrowdNeverGetsIn() {
        RetryStormResult crowd = play(PLANNED.withRejectionCost(0.1), ClientBehaviour.SPREAD);
        assertThat(crowd.secondsUntil99Percent()).isEqualTo(-1);
        RetryStormResult advised = play(PLANNED.withRejectionCost(0.1), ClientBehaviour.SPREAD_THEN_ADVICE);
        assertThat(advised.secondsUntilAll()).isPositive();
    }

    @Test
    void whatARelaySeesDoesNotGrowWithTheFleetButWhatAFeedServerSeesDoes() {
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
