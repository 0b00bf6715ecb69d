package sandstack.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Many relays fill one cold server without a word, each with a budget of its own: how often the sum pushes it over, by the
 * page's own sentence. All in one clock, in microseconds.
 */
class SlowStartBudgetTest {
    private static final long WINDOW = 1_500_000;
    private static final double MULTIPLE = 3;
    private static final long LASTS = 15_000_000;

    /** What many starts came to. */
    private record Sum(int falls, double sentPart, double nearest) {}

    /** Requests that one relay gets: first ones by chance, and a crowd of those who come back, at a moment of all. */
    private static Sum play(
            int starts,
            int relays,
            double allowed,
            double perSecond,
            boolean uneven,
            int crowd,
            boolean first,
            int times) {
        SplittableRandom chance = new SplittableRandom(relays * 31L + (long) (allowed * 100) + crowd);
        double fill = allowed / MULTIPLE / WINDOW;
        SlowStartBudget.Rule rule = new SlowStartBudget.Rule(MULTIPLE, WINDOW, relays / times, 1);
        int falls = 0;
        long sent = 0;
        double nearest = 0;
        for (int start = 0; start < starts; start++) {
            SlowStartBudget[] budgets = new SlowStartBudget[relays];
            double[] weight = new double[relays];
            double all = 0;
            for (int r = 0; r < relays; r++) {
                budgets[r] = new SlowStartBudget();
                budgets[r].onRestart(0);
                weight[r] = uneven ? Math.pow(chance.nextDouble(), 3) + 0.05 : 1;
                all += weight[r];
            }
            double[] upTo = new double[relays];
            double sum = 0;
            for (int r = 0; r < relays; r++) {
                sum += weight[r] / all;
                upTo[r] = sum;
            }
            ArrayDeque<Long> window = new ArrayDeque<>();
            long crowdAt = 3_000_000 + chance.nextLong(6_000_000);
            int coming = crowd;
            double limit = allowed + 2 * Math.sqrt(allowed) + 2;
            boolean fell = false;
            for (long now = 0; now < LASTS; ) {
                long next = now + 1 + (long) (-Math.log(1 - chance.nextDouble()) / perSecond * 1e6);
                boolean back = coming > 0 && next >= crowdAt;
                if (back) {
                    coming--;
                    now = Math.max(now, crowdAt) + chance.nextLong(WINDOW / Math.max(1, crowd) + 1);
                } else {
                    now = next;
                }
                int r = 0;
                double at = chance.nextDouble();
                while (r < relays - 1 && upTo[r] < at) {
                    r++;
                }
                SlowStartBudget budget = budgets[r];
                if (budget.admitsDuringSlowStart(rule, 1, fill, true, first && !back, now, chance::nextDouble)) {
                    budget.onSent(now);
                    sent++;
                    window.addLast(now);
                }
                while (!window.isEmpty() && window.peekFirst() <= now - WINDOW) {
                    window.pollFirst();
                }
                nearest = Math.max(nearest, window.size() / limit);
                fell |= window.size() > limit;
            }
            falls += fell ? 1 : 0;
        }
        return new Sum(falls, sent / (starts * allowed * LASTS / WINDOW), nearest);
    }

    @ParameterizedTest(name = "{0} relays, {1} allowed, {2} a second, uneven {3}, a crowd of {4}")
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
    void theSumOfAllRelaysPushesNoColdServerOver(
            int relays, double allowed, double perSecond, boolean uneven, int crowd) {
        Sum sum = play(2_500, relays, allowed, perSecond, uneven, crowd, true, 1);
        System.out.printf(
                "%d relays, %.0f allowed, crowd %d: %d starts fell, %.2f of it sent, nearest %.2f%n",
                relays, allowed, crowd, sum.falls, sum.sentPart, sum.nearest);
        assertThat(sum.falls).isLessThanOrEqualTo(5);
    }

    /** Where each relay is asked once in a quarter of a minute, permits alone left nine tenths of the budget unused. */
    @Test
    void manyRelaysThatAreSeldomAskedFillItAllTheSame() {
        double permitsAlone = play(500, 100, 1, 6, true, 0, false, 1).sentPart;
        assertThat(play(500, 100, 1, 6, true, 0, true, 1).sentPart).isGreaterThan(1.5 * permitsAlone);
        assertThat(permitsAlone).isLessThan(0.15);
    }

    /** The count above has to see a flood where there is one: relays that take their number for a quarter of what it is. */
    @ParameterizedTest(name = "{0} relays, {1} allowed, {2} a second, uneven {3}, a crowd of {4}")
    @CsvSource({
        "100, 5,  20, false, 400",
        "30,  3,  12, true,  120",
        "30,  5,  20, false, 200",
        "30,  15, 60, true,  400",
    })
    void fourTimesThePermitsAreAFlood(int relays, double allowed, double perSecond, boolean uneven, int crowd) {
        assertThat(play(200, relays, allowed, perSecond, uneven, crowd, true, 4).falls)
                .isGreaterThan(20);
    }
}
