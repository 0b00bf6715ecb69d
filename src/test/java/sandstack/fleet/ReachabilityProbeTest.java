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

/** Whom a member reaches itself. */
class ReachabilityProbeTest {
    private final ReachabilityProbe reach = new ReachabilityProbe(new SplittableRandom(1));

    @Property(tries = 100)
    void everyMemberIsAskedOnceARoundHoweverTurnsFall(
            @ForAll @IntRange(min = 1, max = 60) int members,
            @ForAll @IntRange(min = 10, max = 400) int turnMillis,
            @ForAll long seed) {
        ReachabilityProbe asked = new ReachabilityProbe(new SplittableRandom(seed));
        List<String> ids = IntStream.range(0, members).mapToObj(i -> "m" + i).toList();
        asked.members(ids);
        long round = Math.max(ReachabilityProbe.ROUND, ReachabilityProbe.EACH * members);
        Map<String, Integer> counts = new HashMap<>();
        int most = 0;
        for (long now = 0; now < 5 * round; now += turnMillis * 1_000L) {
            List<String> due = asked.due(now);
            most = Math.max(most, due.size());
            due.forEach(id -> counts.merge(id, 1, Integer::sum));
        }
        assertThat(counts).hasSize(members);
        // a round begins at a turn, so up to one turn longer than it is; of five the last may not be over
        assertThat(counts.values()).allMatch(n -> n >= 3 && n <= 5);
        assertThat(most).isLessThanOrEqualTo(2 + 2 * (int) (members * (turnMillis * 1_000L) / round));
    }

    @Test
    void oneLostQuestionIsNoCutAndOneAnswerNoMendedOne() {
        reach.members(List.of("a", "b"));
        assertThat(reach.reached()).isEmpty();
        assertThat(reach.answered("a")).isTrue();
        assertThat(reach.missed("a")).isFalse();
        assertThat(reach.answered("a")).isFalse();
        assertThat(reach.missed("a")).isFalse();
        assertThat(reach.missed("a")).isTrue();
        assertThat(reach.unreached()).containsExactly("a");
        assertThat(reach.answered("a")).isFalse();
        assertThat(reach.unreached()).containsExactly("a");
        assertThat(reach.answered("a")).isTrue();
        assertThat(reach.unreached()).isEmpty();
    }

    @Test
    void whoSleptBlamesNobodyForIt() {
        reach.members(List.of("a"));
        reach.answered("a");
        reach.missed("a");
        reach.slept();
        assertThat(reach.missed("a")).isFalse();
        assertThat(reach.unreached()).isEmpty();
    }

    @Test
    void whoIsGoneIsForgotten() {
        reach.members(List.of("a", "b"));
        reach.missed("a");
        reach.missed("a");
        reach.members(List.of("b"));
        assertThat(reach.unreached()).isEmpty();
        assertThat(reach.missed("a")).isFalse();
        List<String> due = new ArrayList<>();
        for (long now = 0; now < 3 * ReachabilityProbe.ROUND; now += 100_000) {
            due.addAll(reach.due(now));
        }
        assertThat(Set.copyOf(due)).containsExactly("b");
    }
}
