package sandstack.measure.scale.storm;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import sandstack.measure.scale.Resource;
import sandstack.measure.scale.Role;
import sandstack.measure.scale.ScaleMeasurement;
import sandstack.measure.scale.Series;
import sandstack.measure.scale.Series.Point;

/** A zone of eight is lost, and its clients come back to the relays that remain: simulated, from a measured rate of set-ups. */
public final class StormScale implements ScaleMeasurement {
    private static final String PER_RELAYS = "relays";
    private static final String PER_INTERVAL = "longest interval";
    private static final String PER_FIRST = "first interval";
    private static final String PER_RATE = "set-ups a second";
    private static final int[] RELAYS = {56, 200, 800, 2_400, 5_600};
    private static final int[] RELAYS_SMALL = {56, 800, 5_600};
    private static final int[] LONGEST = {8, 9, 10, 11, 12};
    private static final int[] FIRST = {1, 4, 7, 8, 9, 10, 11};
    private static final double[] RATES = {570, 1_140, 2_280, 4_560};
    private static final double REFUSAL_COST = 0.1;
    private static final int SAMPLED_SMALL = 2;
    private static final int SAMPLED_QUICK = 4;
    private static final int SAMPLED_FULL = 16;
    private static final long SEED = 7;

    private final StormSetting planned;

    /** With the rate of set-ups that docs/ROADMAP.md names. */
    public StormScale() {
        this(StormSetting.planned());
    }

    /**
     * Simulates another plan.
     *
     * @param planned what is simulated at the planned size; other sizes differ in the number of relays alone
     */
    public StormScale(StormSetting planned) {
        this.planned = planned;
    }

    @Override
    public String name() {
        return "storm";
    }

    @Override
    public List<Series> measure(Effort effort) {
        int sampled =
                switch (effort) {
                    case SMALL -> SAMPLED_SMALL;
                    case QUICK -> SAMPLED_QUICK;
                    case FULL -> SAMPLED_FULL;
                };
        List<Series> series = new ArrayList<>(bySize(effort == Effort.SMALL ? RELAYS_SMALL : RELAYS, sampled));
        if (effort != Effort.SMALL) {
            series.addAll(byInterval(sampled));
            series.addAll(byFirstInterval(sampled));
            series.addAll(byRate(sampled));
        }
        return series;
    }

    private List<Series> bySize(int[] sizes, int sampled) {
        Map<ClientBehaviour, List<StormResult>> results = new EnumMap<>(ClientBehaviour.class);
        for (ClientBehaviour behaviour : ClientBehaviour.values()) {
            List<StormResult> ofThese = new ArrayList<>();
            for (int size : sizes) {
                ofThese.add(play(planned.withRelays(size), behaviour, sampled));
            }
            results.put(behaviour, ofThese);
        }
        List<Series> series = new ArrayList<>();
        results.forEach((behaviour, ofThese) -> {
            String name = name(behaviour);
            double[] at = asDoubles(sizes);
            series.add(series(
                    "storm." + name + ".attempts-at-relay",
                    Resource.MESSAGES,
                    "attempts a second",
                    PER_RELAYS,
                    at,
                    ofThese,
                    StormResult::peakAttempts));
            series.add(series(
                    "storm." + name + ".attempts-at-feed-server",
                    Resource.MESSAGES,
                    "attempts a second",
                    PER_RELAYS,
                    at,
                    ofThese,
                    StormResult::peakAtFeedServer));
            series.add(series(
                    "storm." + name + ".seconds-over",
                    Resource.LATENCY,
                    "seconds",
                    PER_RELAYS,
                    at,
                    ofThese,
                    StormResult::secondsOver));
            series.add(series(
                    "storm." + name + ".seconds-until-back",
                    Resource.LATENCY,
                    "seconds",
                    PER_RELAYS,
                    at,
                    ofThese,
                    StormResult::secondsNearlyAll));
        });
        return series;
    }

    private List<Series> byInterval(int sampled) {
        List<StormResult> free = new ArrayList<>();
        List<StormResult> costly = new ArrayList<>();
        for (int longest : LONGEST) {
            StormSetting setting = planned.withLongestInterval(longest);
            free.add(play(setting, ClientBehaviour.SPREAD_THEN_ADVICE, sampled));
            costly.add(play(setting.withRefusalCost(REFUSAL_COST), ClientBehaviour.SPREAD_THEN_ADVICE, sampled));
        }
        double[] at = asDoubles(LONGEST);
        return List.of(
                series(
                        "storm.interval.seconds-over",
                        Resource.LATENCY,
                        "seconds",
                        PER_INTERVAL,
                        at,
                        free,
                        StormResult::secondsOver),
                series(
                        "storm.interval.attempts-each",
                        Resource.MESSAGES,
                        "attempts a client",
                        PER_INTERVAL,
                        at,
                        free,
                        StormResult::attemptsEach),
                series(
                        "storm.interval.seconds-until-back",
                        Resource.LATENCY,
                        "seconds",
                        PER_INTERVAL,
                        at,
                        free,
                        StormResult::secondsNearlyAll),
                series(
                        "storm.interval.costly-refusals.seconds-until-back",
                        Resource.LATENCY,
                        "seconds",
                        PER_INTERVAL,
                        at,
                        costly,
                        StormResult::secondsNearlyAll));
    }

    /** Advice that begins with an interval wide enough for the crowd, and does not have to double up to it. */
    private List<Series> byFirstInterval(int sampled) {
        List<StormResult> free = new ArrayList<>();
        List<StormResult> costly = new ArrayList<>();
        for (int first : FIRST) {
            StormSetting setting = planned.withFirstInterval(first);
            free.add(play(setting, ClientBehaviour.SPREAD_THEN_ADVICE, sampled));
            costly.add(play(setting.withRefusalCost(REFUSAL_COST), ClientBehaviour.SPREAD_THEN_ADVICE, sampled));
        }
        double[] at = asDoubles(FIRST);
        return List.of(
                series(
                        "storm.first-interval.seconds-over",
                        Resource.LATENCY,
                        "seconds",
                        PER_FIRST,
                        at,
                        free,
                        StormResult::secondsOver),
                series(
                        "storm.first-interval.attempts-each",
                        Resource.MESSAGES,
                        "attempts a client",
                        PER_FIRST,
                        at,
                        free,
                        StormResult::attemptsEach),
                series(
                        "storm.first-interval.seconds-until-back",
                        Resource.LATENCY,
                        "seconds",
                        PER_FIRST,
                        at,
                        free,
                        StormResult::secondsNearlyAll),
                series(
                        "storm.first-interval.costly-refusals.seconds-until-back",
                        Resource.LATENCY,
                        "seconds",
                        PER_FIRST,
                        at,
                        costly,
                        StormResult::secondsNearlyAll));
    }

    private List<Series> byRate(int sampled) {
        List<StormResult> results = new ArrayList<>();
        for (double rate : RATES) {
            results.add(play(planned.withSetUps(rate), ClientBehaviour.SPREAD_THEN_ADVICE, sampled));
        }
        return List.of(
                series(
                        "storm.rate.seconds-over",
                        Resource.LATENCY,
                        "seconds",
                        PER_RATE,
                        RATES,
                        results,
                        StormResult::secondsOver),
                series(
                        "storm.rate.seconds-until-back",
                        Resource.LATENCY,
                        "seconds",
                        PER_RATE,
                        RATES,
                        results,
                        StormResult::secondsNearlyAll));
    }

    private static StormResult play(StormSetting setting, ClientBehaviour behaviour, int sampled) {
        return new StormSimulation(setting, behaviour, sampled, SEED).run();
    }

    private static String name(ClientBehaviour behaviour) {
        return behaviour.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static double[] asDoubles(int[] values) {
        return Arrays.stream(values).asDoubleStream().toArray();
    }

    private Series series(
            String id,
            Resource resource,
            String unit,
            String per,
            double[] at,
            List<StormResult> results,
            ToDoubleFunction<StormResult> value) {
        List<Point> points = new ArrayList<>();
        for (int i = 0; i < at.length; i++) {
            points.add(new Point(at[i], value.applyAsDouble(results.get(i))));
        }
        return new Series(id, Role.RELAY_RETRIES, resource, unit, per, method(), points);
    }

    private String method() {
        return String.format(
                Locale.ROOT,
                "simulated: one zone of %d lost, %d clients a relay, %.0f set-ups a second and relay, refusals cost nothing"
                        + " but where it says so (then %.1f of a set-up), intervals of the decision module, -1 where"
                        + " clients are not back after two minutes",
                planned.fleet().zones(),
                planned.fleet().clientsEach(),
                planned.admission().setUps(),
                REFUSAL_COST);
    }
}
