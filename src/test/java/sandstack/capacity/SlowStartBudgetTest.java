package sandstack.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Simulates many relays that send to one server in slow start without communication, each with its own budget, and
 * counts the starts in which their total exceeds the overload threshold of {@link SlowStartBudget.OverloadRule}. All
 * relays use one simulated clock.
 */
class SlowStartBudgetTest {
    private static final long WINDOW_MICROS = 1_500_000;
    private static final double OVERLOAD_MULTIPLE = 3;
    private static final long DURATION_MICROS = 15_000_000;

    /**
     * Totals of many starts of the server.
     *
     * @param overloadedStarts number of starts in which the server was overloaded
     * @param sentFraction fraction of the server's budget that was sent
     * @param worstWindowFraction most requests in a window, as a fraction of the overload threshold
     */
    private record Result(int overloadedStarts, double sentFraction, double worstWindowFraction) {}

    /**
     * Simulates many starts of the server: new clients arrive at random, and a burst of returning clients arrives at
     * all relays within one window.
     *
     * @param allowed budget in requests per window
     * @param arrivalsPerSecond rate at which new clients arrive at all relays together
     * @param uneven whether some relays get more clients than others
     * @param burst number of returning clients
     * @param newClients whether a request of a new client may be sent without a permit
     * @param permitMultiple multiple of its share of the permits that each relay takes, because it assumes fewer relays
     */
    private static Result simulateStarts(
            int starts,
            int relays,
            double allowed,
            double arrivalsPerSecond,
            boolean uneven,
            int burst,
            boolean newClients,
            int permitMultiple) {
        SplittableRandom random = new SplittableRandom(relays * 31L + (long) (allowed * 100) + burst);
        double requestsPerMicro = allowed / OVERLOAD_MULTIPLE / WINDOW_MICROS;
        SlowStartBudget.OverloadRule rule =
                new SlowStartBudget.OverloadRule(OVERLOAD_MULTIPLE, WINDOW_MICROS, relays / permitMultiple, 1);
        int overloadedStarts = 0;
        long sent = 0;
        double worstWindowFraction = 0;
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
            double overloadThreshold = allowed + 2 * Math.sqrt(allowed) + 2;
            boolean overloaded = false;
            for (long nowMicros = 0; nowMicros < DURATION_MICROS; ) {
                long nextMicros = nowMicros + 1 + (long) (-Math.log(1 - random.nextDouble()) / arrivalsPerSecond * 1e6);
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
                worstWindowFraction = Math.max(worstWindowFraction, window.size() / overloadThreshold);
                overloaded |= window.size() > overloadThreshold;
            }
            overloadedStarts += overloaded ? 1 : 0;
        }
        return new Result(
                overloadedStarts, sent / (starts * allowed * DURATION_MICROS / WINDOW_MICROS), worstWindowFraction);
    }

    @ParameterizedTest(name = "{0} relays, {1} requests allowed, {2} arrivals/s, uneven {3}, burst of {4}")
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
    void allRelaysTogetherRarelyOverloadAServerInSlowStart(
            int relays, double allowed, double arrivalsPerSecond, boolean uneven, int burst) {
        Result result = simulateStarts(2_500, relays, allowed, arrivalsPerSecond, uneven, burst, true, 1);
        System.out.printf(
                "%d relays, %.0f allowed, burst of %d: %d starts overloaded, %.2f of budget sent, worst window %.2f%n",
                relays, allowed, burst, result.overloadedStarts, result.sentFraction, result.worstWindowFraction);
        assertThat(result.overloadedStarts).isLessThanOrEqualTo(5);
    }

    /**
     * Each relay gets a request about every 17 s, and permits expire meanwhile: permits alone leave nine tenths of the
     * budget unused.
     */
    @Test
    void relaysWithFewRequestsEachStillUseTheBudgetTogether() {
        double permitsAlone = simulateStarts(500, 100, 1, 6, true, 0, false, 1).sentFraction;
        assertThat(simulateStarts(500, 100, 1, 6, true, 0, true, 1).sentFraction)
                .isGreaterThan(1.5 * permitsAlone);
        assertThat(permitsAlone).isLessThan(0.15);
    }

    /**
     * Checks that the simulation detects an overload: each relay assumes a quarter of the actual number of relays, and
     * so takes four times its share of permits.
     */
    @ParameterizedTest(name = "{0} relays, {1} requests allowed, {2} arrivals/s, uneven {3}, burst of {4}")
    @CsvSource({
        "100, 5,  20, false, 400",
        "30,  3,  12, true,  120",
        "30,  5,  20, false, 200",
        "30,  15, 60, true,  400",
    })
    void fourTimesThePermitsOverloadTheServer(
            int relays, double allowed, double arrivalsPerSecond, boolean uneven, int burst) {
        assertThat(simulateStarts(200, relays, allowed, arrivalsPerSecond, uneven, burst, true, 4).overloadedStarts)
                .isGreaterThan(20);
    }
}
