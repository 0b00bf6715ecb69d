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

/**
 * Growth of the load balancer's state and of endpoint lists with their size, by counts that are the same on every
 * machine.
 */
class ScaleShapesTest {
    /** Maximum relative difference between slopes of successive points. */
    private static final double TOLERANCE = 0.05;

    private static List<ScaleMeasurement> deterministic() {
        return List.of(new LoadBalancerScale(), new EndpointListScale());
    }

    private static List<ScaleMeasurement> processBased() {
        return List.of(
                new RelayMemoryScale(), new RelayHeapLimitScale(), new RelaySetupScale(), new RelayDeliveryScale());
    }

    private static Map<String, Series> smallSeries() throws Exception {
        return Stream.concat(
                        new LoadBalancerScale().measure(Effort.SMALL).stream(),
                        new EndpointListScale().measure(Effort.SMALL).stream())
                .collect(Collectors.toMap(Series::id, Function.identity()));
    }

    /** Whether the slopes between successive points are equal within {@link #TOLERANCE}. */
    private static boolean isLinear(Series series) {
        List<Point> points = series.points();
        for (int i = 2; i < points.size(); i++) {
            double previousSlope = slope(points.get(i - 2), points.get(i - 1));
            double nextSlope = slope(points.get(i - 1), points.get(i));
            if (Math.abs(nextSlope - previousSlope) > TOLERANCE * Math.abs(previousSlope)) {
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

    private static Series seriesOf(double... values) {
        List<Point> points = java.util.stream.IntStream.range(0, values.length)
                .mapToObj(i -> new Point(100 << i, values[i]))
                .toList();
        return new Series("x", Role.DISCOVERY, Resource.STATE, "entries", "items", "sample", points);
    }

    @Test
    void isLinearDistinguishesLinearFromOtherGrowth() {
        assertThat(isLinear(seriesOf(110, 210, 410))).isTrue();
        assertThat(isLinear(seriesOf(7, 7, 7))).isTrue();
        assertThat(isLinear(seriesOf(100, 400, 1600))).isFalse();
        assertThat(isLinear(seriesOf(100, 100, 130))).isFalse();
    }

    @ParameterizedTest
    @MethodSource("deterministic")
    void countsAreDeterministic(ScaleMeasurement measurement) throws Exception {
        assertThat(measurement.measure(Effort.SMALL)).isNotEmpty().isEqualTo(measurement.measure(Effort.SMALL));
    }

    @ParameterizedTest
    @MethodSource("processBased")
    void smallEffortStartsNoProcesses(ScaleMeasurement measurement) throws Exception {
        assertThat(measurement.measure(Effort.SMALL)).isEmpty();
    }

    @Test
    void seriesHaveUniqueIdsAndIncreasingSizes() throws Exception {
        HashSet<String> ids = new HashSet<>();
        for (ScaleMeasurement measurement : deterministic()) {
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
    void loadBalancerStateIsLinearInConnections() throws Exception {
        Series entries = smallSeries().get("decision.entries");
        assertThat(isLinear(entries)).as(entries.toString()).isTrue();
        // the request, its attempt, their entries in two maps, and a share of the group's entries
        assertThat(slope(entries)).isBetween(3.0, 6.0);
    }

    @Test
    void loadBalancerStateIsLinearInFeedServers() throws Exception {
        Series entries = smallSeries().get("decision.entries-by-servers");
        assertThat(isLinear(entries)).as(entries.toString()).isTrue();
        assertThat(slope(entries)).isBetween(5.0, 12.0);
    }

    @Test
    void fullListIsLinearInFeedServersAndDeltaIsConstant() throws Exception {
        Map<String, Series> series = smallSeries();
        assertThat(isLinear(series.get("discovery.whole-list"))).isTrue();
        assertThat(slope(series.get("discovery.whole-list"))).isBetween(100.0, 200.0);
        assertThat(isLinear(series.get("discovery.change"))).isTrue();
        assertThat(slope(series.get("discovery.change"))).isZero();
    }

    @Test
    void computedSeriesAreMarkedAsComputed() throws Exception {
        List<Series> perRelay = new EndpointListScale()
                .measure(Effort.SMALL).stream()
                        .filter(series -> series.per().equals("relays"))
                        .toList();
        assertThat(perRelay).hasSize(4);
        assertThat(perRelay).allSatisfy(series -> assertThat(series.method()).startsWith("reckoned: "));
    }
}
