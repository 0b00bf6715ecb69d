package sandstack.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import sandstack.configuration.ConfigurationEdit.Put;
import sandstack.configuration.ConfigurationEdit.Remove;
import sandstack.configuration.ConfigurationHistory.Outcome;

/** The same proposals in the same order lead to the same configuration on every machine. */
class ConfigurationHistoryTest {
    private static final ChangeValidator VALIDATOR =
            new ChangeValidator(ConfigurationLimits.DEFAULT, ConfigurationCheck.NONE);

    private static ConfigurationChange randomChange(SplittableRandom random, ConfigurationVersion base) {
        String key = "key-" + random.nextInt(8);
        ConfigurationEdit edit = random.nextInt(3) == 0 ? new Remove(key) : new Put(key, "v" + random.nextInt(4));
        return ConfigurationChange.of(base, "ann", "drawn", List.of(edit, new Put("other", "" + random.nextInt(3))));
    }

    /** Some proposals have another base than the current version, as happens when two are proposed concurrently. */
    @Property(tries = 200)
    void sameProposalsLeadToTheSameState(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        RecordingListener changes = new RecordingListener();
        ConfigurationHistory first = new ConfigurationHistory(VALIDATOR, changes);
        ConfigurationHistory other = new ConfigurationHistory(VALIDATOR, new RecordingListener());
        Map<String, String> model = new HashMap<>();
        for (int i = 0; i < 60; i++) {
            ConfigurationVersion base = random.nextInt(5) == 0
                    ? new ConfigurationVersion(0, i)
                    : first.current().version();
            ConfigurationChange change = randomChange(random, base);
            // a leader that lost its term and won a later one may have proposed this change in the earlier term
            long term = Math.max(0, 1 + i / 10 - random.nextInt(2));
            ConfigurationVersion before = first.current().version();
            Outcome outcome = first.applyCommitted(term, change);
            assertThat(other.applyCommitted(term, change)).isEqualTo(outcome);
            if (outcome instanceof Outcome.Accepted accepted) {
                assertThat(accepted.change().version().follows(before)).isTrue();
                for (ConfigurationEdit edit : change.edits()) {
                    if (edit instanceof Put put) {
                        model.put(put.key(), put.value());
                    } else {
                        model.remove(edit.key());
                    }
                }
            }
            assertThat(first.current().entries()).isEqualTo(model);
            assertThat(first.current().matchesDigest()).isTrue();
        }
        assertThat(other.current()).isEqualTo(first.current());
        assertThat(changes.committed).hasSize((int) first.current().version().index());
    }

    @Test
    void rollbackIsCommittedAsAChange() {
        ConfigurationHistory history = new ConfigurationHistory(VALIDATOR, new RecordingListener());
        history.applyCommitted(
                1, ConfigurationChange.of(ConfigurationVersion.NONE, "ann", "a", List.of(new Put("a", "1"))));
        ConfigurationSnapshot good = history.current();
        history.applyCommitted(1, ConfigurationChange.of(good.version(), "ann", "b", List.of(new Put("a", "2"))));
        history.applyCommitted(
                2,
                ConfigurationChange.of(
                        history.current().version(), "ann", "back to " + good.version(), List.of(new Put("a", "1"))));
        assertThat(history.current().digest()).isEqualTo(good.digest());
        assertThat(history.current().version()).isEqualTo(new ConfigurationVersion(2, 3));
    }

    @Test
    void restoringAnEarlierStateIsIgnored() {
        RecordingListener listener = new RecordingListener();
        ConfigurationHistory history = new ConfigurationHistory(VALIDATOR, listener);
        ConfigurationSnapshot later = ConfigurationSnapshot.of(new ConfigurationVersion(3, 7), 1, Map.of("a", "1"));
        history.restore(later);
        history.restore(ConfigurationSnapshot.of(new ConfigurationVersion(2, 6), 1, Map.of()));
        history.restore(ConfigurationSnapshot.of(new ConfigurationVersion(3, 7), 1, Map.of("b", "1")));
        assertThat(history.current()).isEqualTo(later);
        assertThat(listener.restored).containsExactly(later);
    }

    @Test
    void changeOfAnotherBaseCannotBeApplied() {
        ConfigurationChange change =
                ConfigurationChange.of(ConfigurationVersion.NONE, "ann", "a", List.of(new Put("a", "1")));
        assertThatThrownBy(() -> ConfigurationSnapshot.EMPTY.apply(new ConfigurationVersion(1, 2), change))
                .isInstanceOf(IllegalArgumentException.class);
        ConfigurationSnapshot first = ConfigurationSnapshot.EMPTY.apply(new ConfigurationVersion(1, 1), change);
        assertThatThrownBy(() -> first.apply(new ConfigurationVersion(1, 2), change))
                .isInstanceOf(IllegalArgumentException.class);
    }

    @Property(tries = 200)
    void divergentVersionsAreDetected(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ConfigurationVersion a = new ConfigurationVersion(random.nextLong(4), random.nextLong(4));
        ConfigurationVersion b = new ConfigurationVersion(random.nextLong(4), random.nextLong(4));
        assertThat(a.divergesFrom(b)).isEqualTo(b.divergesFrom(a));
        int relations = (a.equals(b) ? 1 : 0) + (a.isAfter(b) ? 1 : 0) + (b.isAfter(a) ? 1 : 0);
        assertThat(relations).isEqualTo(a.divergesFrom(b) ? 0 : 1);
    }
}
