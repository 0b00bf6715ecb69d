package sandstack.net;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** The budget is bounded by the allowed descriptors and by the heap. */
class DescriptorBudgetTest {
    private static final long MEGABYTE = 1L << 20;
    /**
     * Pairs of a heap size in megabytes and the number of connections that exhausts it, from the measurement
     * {@code relay.heap-limit.standing}.
     */
    private static final int[][] MEASURED_LIMITS = {{24, 3_777}, {32, 5_246}, {48, 8_154}};

    @Test
    void staysBelowTheMeasuredHeapLimits() {
        for (int[] measured : MEASURED_LIMITS) {
            int descriptors = DescriptorBudget.of(Integer.MAX_VALUE, measured[0] * MEGABYTE);

            // two descriptors per connection: the budget allows from half to four fifths of the measured connections
            assertThat(descriptors).isBetween(measured[1], 2 * measured[1] * 4 / 5);
        }
    }

    @Test
    void keepsTheAllowedDescriptorsWhereTheHeapSuffices() {
        assertThat(DescriptorBudget.of(1_024, 48 * MEGABYTE)).isEqualTo(1_024);
    }

    @Property
    void isAtMostTheAllowedAndGrowsWithTheHeap(
            @ForAll @IntRange(min = 16) int allowed, @ForAll @LongRange(min = 0, max = 1L << 40) long heap) {
        int budget = DescriptorBudget.of(allowed, heap);
        assertThat(budget).isBetween(1, allowed);
        assertThat(DescriptorBudget.of(allowed, heap + MEGABYTE)).isGreaterThanOrEqualTo(budget);
    }
}
