package sandstack.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Direct reachability, by probes that are answered or time out. */
class ReachabilityProbeTest {
    private final ReachabilityProbe probe = new ReachabilityProbe(new SplittableRandom(1));

    @Property(tries = 100)
    void everyMemberIsProbedOnceARoundWhateverTheTickInterval(
            @ForAll @IntRange(min = 1, max = 60) int members,
            @ForAll @IntRange(min = 10, max = 400) int tickMillis,
            @ForAll long seed) {
        ReachabilityProbe probe = new ReachabilityProbe(new SplittableRandom(seed));
        List<String> ids = IntStream.range(0, members).mapToObj(i -> "m" + i).toList();
        probe.setMembers(ids);
        long roundMicros =
                Math.max(ReachabilityProbe.MIN_ROUND_MICROS, ReachabilityProbe.ROUND_MICROS_PER_MEMBER * members);
        Map<String, Integer> counts = new HashMap<>();
        int maxDue = 0;
        for (long nowMicros = 0; nowMicros < 5 * roundMicros; nowMicros += tickMillis * 1_000L) {
            List<String> due = probe.takeDue(nowMicros);
            maxDue = Math.max(maxDue, due.size());
            due.forEach(id -> counts.merge(id, 1, Integer::sum));
        }
        assertThat(counts).hasSize(members);
        // a round begins at a tick, so it may last one tick longer; the last of the five may not be over
        assertThat(counts.values()).allMatch(n -> n >= 3 && n <= 5);
        assertThat(maxDue).isLessThanOrEqualTo(2 + 2 * (int) (members * (tickMillis * 1_000L) / roundMicros));
    }

    @Test
    void twoResultsInARowChangeReachability() {
        probe.setMembers(List.of("a", "b"));
        assertThat(probe.reachable()).isEmpty();
        assertThat(probe.probeAnswered("a")).isTrue();
        assertThat(probe.probeTimedOut("a")).isFalse();
        assertThat(probe.probeAnswered("a")).isFalse();
        assertThat(probe.probeTimedOut("a")).isFalse();
        assertThat(probe.probeTimedOut("a")).isTrue();
        assertThat(probe.unreachable()).containsExactly("a");
        assertThat(probe.probeAnswered("a")).isFalse();
        assertThat(probe.unreachable()).containsExactly("a");
        assertThat(probe.probeAnswered("a")).isTrue();
        assertThat(probe.unreachable()).isEmpty();
    }

    @Test
    void stallClearsConsecutiveTimeouts() {
        probe.setMembers(List.of("a"));
        probe.probeAnswered("a");
        probe.probeTimedOut("a");
        probe.processStalled();
        assertThat(probe.probeTimedOut("a")).isFalse();
        assertThat(probe.unreachable()).isEmpty();
    }

    @Test
    void departedMemberIsForgotten() {
        probe.setMembers(List.of("a", "b"));
        probe.probeTimedOut("a");
        probe.probeTimedOut("a");
        probe.setMembers(List.of("b"));
        assertThat(probe.unreachable()).isEmpty();
        assertThat(probe.probeTimedOut("a")).isFalse();
        List<String> due = new ArrayList<>();
        for (long nowMicros = 0; nowMicros < 3 * ReachabilityProbe.MIN_ROUND_MICROS; nowMicros += 100_000) {
            due.addAll(probe.takeDue(nowMicros));
        }
        assertThat(Set.copyOf(due)).containsExactly("b");
    }
}
