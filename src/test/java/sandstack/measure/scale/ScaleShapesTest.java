package sandstack.measure.scale;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import sandstack.measure.scale.ScaleMeasurement.Effort;
import sandstack.measure.scale.Series.Point;

/** Growth of a relay's state and of endpoint lists, by counts that are the same on every machine. */
class ScaleShapesTest {
    /** Maximum relative difference between slopes of successive points. */
    private static final double TOLERANCE = 0.05;

    private static List<ScaleMeasurement> countable() {
        return List.of(new LoadBalancerScale(), new EndpointListScale());
    }

    private static List<ScaleMeasurement> needProcesses() {
        return List.of(
                new RelayMemoryScale(), new RelayHeapLimitScale(), new RelaySetupScale(), new RelayDeliveryScale());
    }

    private static Map<String, Series> small() throws Exception {
        return Stream.concat(
                        new LoadBalancerScale().measure(Effort.SMALL).stream(),
                        new EndpointListScale().measure(Effort.SMALL).stream())
                .collect(Collectors.toMap(Series::id, Function.identity()));
    }

    /** Whether all successive points have the same slope. */
    private static boolean straight(Series series) {
        List<Point> points = series.points();
        for (int i = 2; i < points.size(); i++) {
            double before = slope(points.get(i - 2), points.get(i - 1));
            double after = slope(points.get(i - 1), points.get(i));
            if (Math.abs(after - before) > TOLERANCE * Math.abs(before)) {
                return false;
            }
        }
        return true;
    }

    private static double slope(Point from, Point to) {
        return (to.value() - from.value()) / (to.size() - from.size());
    }

    private static double slope(Series series) {
        return slope(series.points().get(0), series.points().get(series.points().size() - 1));
    }

    private static Series of(double... values) {
        List<Point> points = java.util.stream.IntStream.range(0, values.length)
                .mapToObj(i -> new Point(100 << i, values[i]))
                .toList();
        return new Series("x", Role.DISCOVERY, Resource.STATE, "entries", "things", "made up", points);
    }

    @Test
    void theCheckTellsALineFromASquare() {
        assertThat(straight(of(110, 210, 410))).isTrue();
        assertThat(straight(of(7, 7, 7))).isTrue();
        assertThat(straight(of(100, 400, 1600))).isFalse();
        assertThat(straight(of(100, 100, 130))).isFalse();
    }

    @ParameterizedTest
    @MethodSource("countable")
    void countsAreTheSameEachTime(ScaleMeasurement measurement) throws Exception {
        assertThat(measurement.measure(Effort.SMALL)).isNotEmpty().isEqualTo(measurement.measure(Effort.SMALL));
    }

    @ParameterizedTest
    @MethodSource("needProcesses")
    void whatNeedsAProcessIsNotMeasuredInTheBuild(ScaleMeasurement measurement) throws Exception {
        assertThat(measurement.measure(Effort.SMALL)).isEmpty();
    }

    @Test
    void eachSeriesHasAnIdOfItsOwnAndThreeSizesThatRise() throws Exception {
        HashSet<String> ids = new HashSet<>();
        for (ScaleMeasurement measurement : countable()) {
            for (Series series : measurement.measure(Effort.SMALL)) {
                assertThat(ids.add(series.id())).as(series.id()).isTrue();
                assertThat(series.points()).as(series.id()).hasSizeGreaterThanOrEqualTo(3);
                assertThat(series.points().stream().map(Point::size))
                        .as(series.id())
                        .isSorted()
                        .doesNotHaveDuplicates();
            }
        }
    }

    @Test
    void theDecisionModuleKeepsAFixedNumberOfEntriesAConnection() throws Exception {
        Series entries = small().get("decision.entries");
        assertThat(straight(entries)).as(entries.toString()).isTrue();
        // the request, its attempt, entries in two maps, and a share of its group's entries
        assertThat(slope(entries)).isBetween(3.0, 6.0);
    }

    @Test
    void theDecisionModuleKeepsAFixedNumberOfEntriesAFeedServer() throws Exception {
        Series entries = small().get("decision.entries-by-servers");
        assertThat(straight(entries)).as(entries.toString()).isTrue();
        assertThat(slope(entries)).isBetween(5.0, 12.0);
    }

    @Test
    void theWholeListIsLinearInFeedServersAndAChangeIsNot() throws Exception {
        Map<String, Series> small = small();
        assertThat(straight(small.get("discovery.whole-list"))).isTrue();
        assertThat(slope(small.get("discovery.whole-list"))).isBetween(100.0, 200.0);
        assertThat(straight(small.get("discovery.change"))).isTrue();
        assertThat(slope(small.get("discovery.change"))).isZero();
    }

    @Test
    void whatIsReckonedForAllRelaysIsMarkedSo() throws Exception {
        List<Series> perRelay = new EndpointListScale()
                .measure(Effort.SMALL).stream()
                        .filter(series -> series.per().equals("relays"))
                        .toList();
        assertThat(perRelay).hasSize(4);
        assertThat(perRelay).allSatisfy(series -> assertThat(series.method()).startsWith("reckoned: "));
    }
}
