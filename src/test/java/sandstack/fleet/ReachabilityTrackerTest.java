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

/** Direct reachability, derived from probes that are answered or time out. */
class ReachabilityTrackerTest {
    private final ReachabilityTracker tracker = new ReachabilityTracker(new SplittableRandom(1));

    @Property(tries = 100)
    void everyMemberIsProbedOncePerRoundAtAnyTickInterval(
            @ForAll @IntRange(min = 1, max = 60) int members,
            @ForAll @IntRange(min = 10, max = 400) int tickMillis,
            @ForAll long seed) {
        ReachabilityTracker tracker = new ReachabilityTracker(new SplittableRandom(seed));
        List<String> ids = IntStream.range(0, members).mapToObj(i -> "m" + i).toList();
        tracker.setMembers(ids);
        long roundMicros =
                Math.max(ReachabilityTracker.MIN_ROUND_MICROS, ReachabilityTracker.ROUND_MICROS_PER_MEMBER * members);
        Map<String, Integer> counts = new HashMap<>();
        int maxDue = 0;
        for (long nowMicros = 0; nowMicros < 5 * roundMicros; nowMicros += tickMillis * 1_000L) {
            List<String> due = tracker.takeDue(nowMicros);
            maxDue = Math.max(maxDue, due.size());
            due.forEach(id -> counts.merge(id, 1, Integer::sum));
        }
        assertThat(counts).hasSize(members);
        // a round starts at a tick and may therefore last one tick longer; the last of the five may be incomplete
        assertThat(counts.values()).allMatch(n -> n >= 3 && n <= 5);
        assertThat(maxDue).isLessThanOrEqualTo(2 + 2 * (int) (members * (tickMillis * 1_000L) / roundMicros));
    }

    @Test
    void twoResultsInARowChangeReachability() {
        tracker.setMembers(List.of("a", "b"));
        assertThat(tracker.reachable()).isEmpty();
        assertThat(tracker.probeAnswered("a")).isTrue();
        assertThat(tracker.probeTimedOut("a")).isFalse();
        assertThat(tracker.probeAnswered("a")).isFalse();
        assertThat(tracker.probeTimedOut("a")).isFalse();
        assertThat(tracker.probeTimedOut("a")).isTrue();
        assertThat(tracker.unreachable()).containsExactly("a");
        assertThat(tracker.probeAnswered("a")).isFalse();
        assertThat(tracker.unreachable()).containsExactly("a");
        assertThat(tracker.probeAnswered("a")).isTrue();
        assertThat(tracker.unreachable()).isEmpty();
    }

    @Test
    void stallClearsConsecutiveTimeouts() {
        tracker.setMembers(List.of("a"));
        tracker.probeAnswered("a");
        tracker.probeTimedOut("a");
        tracker.processStalled();
        assertThat(tracker.probeTimedOut("a")).isFalse();
        assertThat(tracker.unreachable()).isEmpty();
    }

    @Test
    void departedMemberIsNoLongerTracked() {
        tracker.setMembers(List.of("a", "b"));
        tracker.probeTimedOut("a");
        tracker.probeTimedOut("a");
        tracker.setMembers(List.of("b"));
        assertThat(tracker.unreachable()).isEmpty();
        assertThat(tracker.probeTimedOut("a")).isFalse();
        List<String> due = new ArrayList<>();
        for (long nowMicros = 0; nowMicros < 3 * ReachabilityTracker.MIN_ROUND_MICROS; nowMicros += 100_000) {
            due.addAll(tracker.takeDue(nowMicros));
        }
        assertThat(Set.copyOf(due)).containsExactly("b");
    }
}
