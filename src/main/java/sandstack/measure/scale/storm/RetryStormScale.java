package sandstack.measure.scale.storm;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.IntFunction;
import sandstack.measure.scale.Resource;
import sandstack.measure.scale.Role;
import sandstack.measure.scale.ScaleMeasurement;
import sandstack.measure.scale.Series;

/**
 * Attempts and recovery time in the simulated retry storm after the loss of a zone, whose clients reconnect to the
 * remaining relays.
 */
public final class RetryStormScale implements ScaleMeasurement {
    private static final String PER_RELAYS = "relays";
    private static final String PER_INTERVAL = "longest interval";
    private static final String PER_FIRST = "first interval";
    private static final String PER_RATE = "set-ups a second";
    private static final int[] RELAYS = {56, 200, 800, 2_400, 5_600};
    private static final int[] RELAYS_SMALL = {56, 800, 5_600};
    private static final int[] LAST_INTERVALS = {8, 9, 10, 11, 12};
    private static final int[] FIRST_INTERVALS = {1, 4, 7, 8, 9, 10, 11};
    private static final double[] SETUPS_PER_SECOND = {570, 1_140, 2_280, 4_560};
    /** Cost of a rejection, as a fraction of a setup. */
    private static final double REJECTION_COST = 0.1;

    /** Number of simulated relays, by effort. */
    private static final int SAMPLED_SMALL = 2;

    private static final int SAMPLED_QUICK = 4;
    private static final int SAMPLED_FULL = 16;
    private static final long SEED = 7;

    private final RetryStormSettings planned;

    /** The result of a simulation at one size. */
    private record Sample(double size, RetryStormResult result) {}

    /** Reported metrics; the ids are part of the ids of series. */
    private enum Metric {
        ATTEMPTS_AT_RELAY("attempts-at-relay", Resource.MESSAGES, "attempts a second"),
        ATTEMPTS_AT_FEED_SERVER("attempts-at-feed-server", Resource.MESSAGES, "attempts a second"),
        ATTEMPTS_PER_CLIENT("attempts-each", Resource.MESSAGES, "attempts a client"),
        OVERLOADED_SECONDS("seconds-over", Resource.LATENCY, "seconds"),
        SECONDS_UNTIL_99_PERCENT("seconds-until-back", Resource.LATENCY, "seconds");

        private final String id;
        private final Resource resource;
        private final String unit;

        Metric(String id, Resource resource, String unit) {
            this.id = id;
            this.resource = resource;
            this.unit = unit;
        }

        double value(RetryStormResult result) {
            return switch (this) {
                case ATTEMPTS_AT_RELAY -> result.peakAttempts();
                case ATTEMPTS_AT_FEED_SERVER -> result.peakAtFeedServer();
                case ATTEMPTS_PER_CLIENT -> result.attemptsPerClient();
                case OVERLOADED_SECONDS -> result.overloadedSeconds();
                case SECONDS_UNTIL_99_PERCENT -> result.secondsUntil99Percent();
            };
        }
    }

    /** Simulates the planned fleet with the measured setup rate. */
    public RetryStormScale() {
        this(RetryStormSettings.planned());
    }

    /**
     * Simulates another plan.
     *
     * @param planned settings at the planned size; other sizes differ only in the number of relays
     */
    public RetryStormScale(RetryStormSettings planned) {
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
            series.addAll(byLastInterval(sampled));
            series.addAll(byFirstInterval(sampled));
            series.addAll(byRate(sampled));
        }
        return series;
    }

    private List<Series> bySize(int[] sizes, int sampled) {
        List<Series> series = new ArrayList<>();
        for (ClientBehaviour behaviour : ClientBehaviour.values()) {
            List<Sample> samples = new ArrayList<>();
            for (int size : sizes) {
                samples.add(new Sample(size, simulate(planned.withRelays(size), behaviour, sampled)));
            }
            String prefix = name(behaviour);
            series.add(series(prefix, Metric.ATTEMPTS_AT_RELAY, PER_RELAYS, samples));
            series.add(series(prefix, Metric.ATTEMPTS_AT_FEED_SERVER, PER_RELAYS, samples));
            series.add(series(prefix, Metric.OVERLOADED_SECONDS, PER_RELAYS, samples));
            series.add(series(prefix, Metric.SECONDS_UNTIL_99_PERCENT, PER_RELAYS, samples));
        }
        return series;
    }

    private List<Series> byLastInterval(int sampled) {
        return byInterval("interval", PER_INTERVAL, LAST_INTERVALS, planned::withLastInterval, sampled);
    }

    /** Varies the first interval: one that is long enough for all clients makes doubling unnecessary. */
    private List<Series> byFirstInterval(int sampled) {
        return byInterval("first-interval", PER_FIRST, FIRST_INTERVALS, planned::withFirstInterval, sampled);
    }

    /** Returns series for rejections without cost, and one for rejections that cost {@link #REJECTION_COST}. */
    private List<Series> byInterval(
            String prefix, String per, int[] intervals, IntFunction<RetryStormSettings> settingsOf, int sampled) {
        List<Sample> withoutCost = new ArrayList<>();
        List<Sample> withCost = new ArrayList<>();
        for (int interval : intervals) {
            RetryStormSettings settings = settingsOf.apply(interval);
            withoutCost.add(new Sample(interval, simulate(settings, ClientBehaviour.SPREAD_THEN_ADVICE, sampled)));
            withCost.add(new Sample(
                    interval,
                    simulate(settings.withRejectionCost(REJECTION_COST), ClientBehaviour.SPREAD_THEN_ADVICE, sampled)));
        }
        return List.of(
                series(prefix, Metric.OVERLOADED_SECONDS, per, withoutCost),
                series(prefix, Metric.ATTEMPTS_PER_CLIENT, per, withoutCost),
                series(prefix, Metric.SECONDS_UNTIL_99_PERCENT, per, withoutCost),
                series(prefix + ".costly-refusals", Metric.SECONDS_UNTIL_99_PERCENT, per, withCost));
    }

    private List<Series> byRate(int sampled) {
        List<Sample> samples = new ArrayList<>();
        for (double rate : SETUPS_PER_SECOND) {
            RetryStormSettings settings = planned.withSetupsPerSecond(rate);
            samples.add(new Sample(rate, simulate(settings, ClientBehaviour.SPREAD_THEN_ADVICE, sampled)));
        }
        return List.of(
                series("rate", Metric.OVERLOADED_SECONDS, PER_RATE, samples),
                series("rate", Metric.SECONDS_UNTIL_99_PERCENT, PER_RATE, samples));
    }

    private static RetryStormResult simulate(RetryStormSettings settings, ClientBehaviour behaviour, int sampled) {
        return new RetryStormSimulation(settings, behaviour, sampled, SEED).run();
    }

    private static String name(ClientBehaviour behaviour) {
        return behaviour.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private Series series(String prefix, Metric metric, String per, List<Sample> samples) {
        return new Series(
                "storm." + prefix + "." + metric.id,
                Role.RELAY_RETRIES,
                metric.resource,
                metric.unit,
                per,
                method(),
                Series.points(samples, Sample::size, sample -> metric.value(sample.result())));
    }

    private String method() {
        return String.format(
                Locale.ROOT,
                "simulated: one zone of %d lost, %d clients a relay, %.0f set-ups a second and relay, refusals cost nothing"
                        + " but where it says so (then %.1f of a set-up), intervals of the decision module, -1 where"
                        + " clients are not back after two minutes",
                planned.fleet().zones(),
                planned.fleet().clientsPerRelay(),
                planned.admission().setupsPerSecond(),
                REJECTION_COST);
    }
}
