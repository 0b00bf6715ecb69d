package sandstack.net;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** What a process may hold is bounded by its descriptors and by its heap. */
class DescriptorBudgetTest {
    private static final long MEGABYTE = 1L << 20;
    /**
     * Megabytes of heap, and connections at which it was measured to be exhausted: {@code relay.heap-limit.standing}.
     */
    private static final int[][] MEASURED_LIMITS = {{24, 3_777}, {32, 5_246}, {48, 8_154}};

    @Test
    void staysBelowTheMeasuredHeapLimits() {
        for (int[] spent : MEASURED_LIMITS) {
            int descriptors = DescriptorBudget.of(Integer.MAX_VALUE, spent[0] * MEGABYTE);
            assertThat(descriptors).isBetween(spent[1], 2 * spent[1] * 4 / 5);
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
