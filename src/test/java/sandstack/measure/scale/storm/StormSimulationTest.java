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
class StormSimulationTest {
    private static final StormSetting PLANNED = StormSetting.planned();

    private static StormResult play(StormSetting setting, ClientBehaviour behaviour) {
        return new StormSimulation(setting, behaviour, 2, 11).run();
    }

    @Test
    void thePlannedFleetLosesFiftySixMillionClientsOfWhomEachRelayHasToTakeElevenThousand() {
        assertThat(PLANNED.lostClients()).isEqualTo(56_280_000);
        assertThat(PLANNED.remaining()).isEqualTo(4_900);
        assertThat(PLANNED.leastSeconds()).isBetween(20.1, 20.2);
    }

    @ParameterizedTest
    @EnumSource(ClientBehaviour.class)
    void allComeBackWhereRefusalsCostNothingAndNoSoonerThanRelaysCanSetThemUp(ClientBehaviour behaviour) {
        StormResult result = play(PLANNED, behaviour);
        assertThat(result.secondsAll())
                .isBetween(PLANNED.leastSeconds() - PLANNED.admission().patience() / 1e6, 60.0);
        assertThat(result.attemptsEach()).isCloseTo(1 + result.refusalsEach(), within(1e-9));
        double attempts = 0;
        for (double second : result.attemptsBySecond()) {
            attempts += second;
        }
        double clientsEach = PLANNED.lostClients() / (double) PLANNED.remaining();
        assertThat(attempts / clientsEach).isBetween(0.999 * result.attemptsEach(), 1.001 * result.attemptsEach());
        double mostSetUps = PLANNED.admission().setUps()
                * PLANNED.remaining()
                / PLANNED.fleet().feedServers();
        assertThat(result.peakAtFeedServer()).isBetween(0.9 * mostSetUps, 1.001 * mostSetUps);
    }

    @Test
    void whoHeedsTheAdviceComesAtAFallingRateAndWhoDoesNotComesInCrowds() {
        double[] advised = play(PLANNED, ClientBehaviour.AT_ONCE_THEN_ADVICE).attemptsBySecond();
        for (int second = 1; second < advised.length; second++) {
            // generations do not overlap: but for chance no second sees more than the one before
            assertThat(advised[second]).isLessThan(1.05 * advised[second - 1] + 20);
        }
        StormResult crowd = play(PLANNED, ClientBehaviour.AT_ONCE);
        assertThat(crowd.peakAttempts())
                .isGreaterThan(
                        1.5 * play(PLANNED, ClientBehaviour.AT_ONCE_THEN_ADVICE).peakAttempts());
        assertThat(crowd.attemptsEach())
                .isGreaterThan(5 * play(PLANNED, ClientBehaviour.SPREAD).attemptsEach());
    }

    @Test
    void longerIntervalsEndTheFrontSoonerAndWasteFewerAttempts() {
        StormResult present = play(PLANNED, ClientBehaviour.SPREAD_THEN_ADVICE);
        StormResult longer = play(PLANNED.withLongestInterval(11), ClientBehaviour.SPREAD_THEN_ADVICE);
        assertThat(longer.secondsOver()).isLessThan(present.secondsOver());
        assertThat(longer.attemptsEach()).isLessThan(present.attemptsEach());
    }

    @Test
    void adviceThatBeginsAsWideAsTheCrowdEndsTheFrontAfterTheFirstAttempts() {
        StormResult doubling = play(PLANNED, ClientBehaviour.SPREAD_THEN_ADVICE);
        StormResult wide = play(PLANNED.withFirstInterval(11), ClientBehaviour.SPREAD_THEN_ADVICE);
        assertThat(wide.secondsOver()).isLessThanOrEqualTo(2).isLessThan(doubling.secondsOver());
        assertThat(wide.attemptsEach()).isLessThan(doubling.attemptsEach() / 3);
    }

    @Test
    void whereARefusalCostsATenthOfASetUpAnUnadvisedCrowdNeverGetsIn() {
        StormResult crowd = play(PLANNED.withRefusalCost(0.1), ClientBehaviour.SPREAD);
        assertThat(crowd.secondsNearlyAll()).isEqualTo(-1);
        StormResult advised = play(PLANNED.withRefusalCost(0.1), ClientBehaviour.SPREAD_THEN_ADVICE);
        assertThat(advised.secondsAll()).isPositive();
    }

    @Test
    void whatARelaySeesDoesNotGrowWithTheFleetButWhatAFeedServerSeesDoes() {
        List<Series> all = new StormScale().measure(Effort.SMALL);
        assertThat(new StormScale().measure(Effort.SMALL)).isEqualTo(all);
        assertThat(growth(all, "storm.spread.attempts-at-relay")).isBetween(0.9, 1.1);
        assertThat(growth(all, "storm.spread.attempts-at-feed-server")).isBetween(80.0, 120.0);
    }

    private static double growth(List<Series> all, String id) {
        Series series = all.stream().filter(s -> s.id().equals(id)).findFirst().orElseThrow();
        return series.points().get(series.points().size() - 1).value()
                / series.points().get(0).value();
    }
}
