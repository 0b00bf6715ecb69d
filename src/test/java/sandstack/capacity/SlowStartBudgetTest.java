package sandstack.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Many relays send to one cold server without communication, each with a budget of its own: how often their sum
 * overloads the server, by the rule of the settings. All on one simulated clock.
 */
class SlowStartBudgetTest {
    private static final long WINDOW_MICROS = 1_500_000;
    private static final double OVERLOAD_MULTIPLE = 3;
    private static final long DURATION_MICROS = 15_000_000;

    /** Result of many starts of the server. */
    private record Result(int overloads, double sentFraction, double worstFraction) {}

    /** Plays many starts: new clients arrive at random, and a burst of returning ones arrives at all relays at once. */
    private static Result play(
            int starts,
            int relays,
            double allowed,
            double perSecond,
            boolean uneven,
            int burst,
            boolean newClients,
            int permitMultiple) {
        SplittableRandom random = new SplittableRandom(relays * 31L + (long) (allowed * 100) + burst);
        double requestsPerMicro = allowed / OVERLOAD_MULTIPLE / WINDOW_MICROS;
        SlowStartBudget.Rule rule =
                new SlowStartBudget.Rule(OVERLOAD_MULTIPLE, WINDOW_MICROS, relays / permitMultiple, 1);
        int overloads = 0;
        long sent = 0;
        double worstFraction = 0;
        for (int start = 0; start < starts; start++) {
            SlowStartBudget[] budgets = new SlowStartBudget[relays];
            double[] weights = new double[relays];
            double totalWeight = 0;
            for (int r = 0; r < relays; r++) {
                budgets[r] = new SlowStartBudget();
                budgets[r].onRestart(0);
                weights[r] = uneven ? Math.pow(random.nextDouble(), 3) + 0.05 : 1;
                totalWeight += weights[r];
            }
            double[] cumulativeShare = new double[relays];
            double sum = 0;
            for (int r = 0; r < relays; r++) {
                sum += weights[r] / totalWeight;
                cumulativeShare[r] = sum;
            }
            ArrayDeque<Long> window = new ArrayDeque<>();
            long burstAtMicros = 3_000_000 + random.nextLong(6_000_000);
            int pendingBurst = burst;
            double limit = allowed + 2 * Math.sqrt(allowed) + 2;
            boolean overloaded = false;
            for (long nowMicros = 0; nowMicros < DURATION_MICROS; ) {
                long nextMicros = nowMicros + 1 + (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e6);
                boolean returning = pendingBurst > 0 && nextMicros >= burstAtMicros;
                if (returning) {
                    pendingBurst--;
                    nowMicros = Math.max(nowMicros, burstAtMicros)
                            + random.nextLong(WINDOW_MICROS / Math.max(1, burst) + 1);
                } else {
                    nowMicros = nextMicros;
                }
                int r = 0;
                double draw = random.nextDouble();
                while (r < relays - 1 && cumulativeShare[r] < draw) {
                    r++;
                }
                SlowStartBudget budget = budgets[r];
                if (budget.admitsDuringSlowStart(
                        rule, 1, requestsPerMicro, true, newClients && !returning, nowMicros, random::nextDouble)) {
                    budget.onSent(nowMicros);
                    sent++;
                    window.addLast(nowMicros);
                }
                while (!window.isEmpty() && window.peekFirst() <= nowMicros - WINDOW_MICROS) {
                    window.pollFirst();
                }
                worstFraction = Math.max(worstFraction, window.size() / limit);
                overloaded |= window.size() > limit;
            }
            overloads += overloaded ? 1 : 0;
        }
        return new Result(overloads, sent / (starts * allowed * DURATION_MICROS / WINDOW_MICROS), worstFraction);
    }

    @ParameterizedTest(name = "{0} relays, {1} allowed, {2} a second, uneven {3}, a burst of {4}")
    @CsvSource({
        "3, 1, 6, true, 40",
        "3, 3, 12, true, 80",
        "3, 5, 20, false, 100",
        "3, 15, 60, true, 200",
        "20, 1, 6, true, 60",
        "20, 3, 12, true, 120",
        "20, 5, 20, false, 200",
        "20, 15, 60, true, 400",
        "30, 1, 6, true, 60",
        "30, 3, 12, true, 120",
        "30, 5, 20, false, 200",
        "30, 15, 60, true, 400",
        "100, 1,  6,  true,  0",
        "100, 1,  6,  true,  200",
        "100, 5,  20, false, 400",
        "100, 15, 60, true,  1000",
        "14,  1,  6,  true,  60",
        "14,  5,  20, false, 200",
        "4,   1,  6,  true,  40",
        "4,   5,  20, true,  100",
        "4,   15, 60, false, 200",
        "1,   5,  20, false, 100",
        "1,   1,  20, false, 100",
    })
    void theSumOfAllRelaysOverloadsNoColdServer(
            int relays, double allowed, double perSecond, boolean uneven, int burst) {
        Result result = play(2_500, relays, allowed, perSecond, uneven, burst, true, 1);
        System.out.printf(
                "%d relays, %.0f allowed, burst %d: %d starts overloaded, %.2f of it sent, worst %.2f%n",
                relays, allowed, burst, result.overloads, result.sentFraction, result.worstFraction);
        assertThat(result.overloads).isLessThanOrEqualTo(5);
    }

    /**
     * Each relay gets a request once in a quarter of a minute: permits alone leave nine tenths of the budget unused.
     */
    @Test
    void relaysWithFewRequestsEachSpendTheBudgetTogether() {
        double permitsAlone = play(500, 100, 1, 6, true, 0, false, 1).sentFraction;
        assertThat(play(500, 100, 1, 6, true, 0, true, 1).sentFraction).isGreaterThan(1.5 * permitsAlone);
        assertThat(permitsAlone).isLessThan(0.15);
    }

    /** Checks that the play above detects an overload: relays that take their number for a quarter of what it is. */
    @ParameterizedTest(name = "{0} relays, {1} allowed, {2} a second, uneven {3}, a burst of {4}")
    @CsvSource({
        "100, 5,  20, false, 400",
        "30,  3,  12, true,  120",
        "30,  5,  20, false, 200",
        "30,  15, 60, true,  400",
    })
    void fourTimesThePermitsOverloadTheServer(int relays, double allowed, double perSecond, boolean uneven, int burst) {
        assertThat(play(200, relays, allowed, perSecond, uneven, burst, true, 4).overloads)
                .isGreaterThan(20);
    }
}
