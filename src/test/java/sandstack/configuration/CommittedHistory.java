package sandstack.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import sandstack.configuration.ConfigurationEdit.Put;

/** Builds a history of valid committed changes for tests, with the configuration after each. */
final class CommittedHistory {
    final List<CommittedChange> changes = new ArrayList<>();
    /** The configuration at each index; {@code states.get(0)} is the empty one. */
    final List<ConfigurationSnapshot> states = new ArrayList<>(List.of(ConfigurationSnapshot.EMPTY));

    /** Commits a change that puts these entries, in a format version and a term. */
    CommittedChange commit(int formatVersion, long term, Map<String, String> puts) {
        ConfigurationSnapshot current = current();
        List<ConfigurationEdit> edits = new ArrayList<>();
        puts.forEach((key, value) -> edits.add(new Put(key, value)));
        ConfigurationChange change = new ConfigurationChange(formatVersion, current.version(), "ann", "a test", edits);
        ConfigurationVersion version = current.version().next(term);
        ConfigurationSnapshot next = current.apply(version, change);
        CommittedChange committed = new CommittedChange(version, change, next.digest());
        changes.add(committed);
        states.add(next);
        return committed;
    }

    CommittedChange commit(String key, String value) {
        return commit(ConfigurationChange.FORMAT_VERSION, 1, Map.of(key, value));
    }

    CommittedHistory commitMany(int count) {
        for (int i = 0; i < count; i++) {
            commit("key-" + i % 5, "value-" + i);
        }
        return this;
    }

    ConfigurationSnapshot current() {
        return states.get(states.size() - 1);
    }

    /** The head of a control machine that has the complete history and reaches a quorum. */
    ConfigurationHead headWithQuorum() {
        return new ConfigurationHead(current().version(), current().digest(), true);
    }

    ConfigurationHead headWithoutQuorum() {
        return new ConfigurationHead(current().version(), current().digest(), false);
    }
}
