package sandstack.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import sandstack.configuration.ConfigurationEdit.Put;

/** A history of agreed changes to test with. */
final class AgreedHistory {
    final List<AgreedChange> changes = new ArrayList<>();
    final List<ConfigurationSnapshot> states = new ArrayList<>(List.of(ConfigurationSnapshot.EMPTY));

    /** One change more, in this format and term. */
    AgreedChange add(int formatVersion, long term, Map<String, String> puts) {
        ConfigurationSnapshot current = current();
        List<ConfigurationEdit> edits = new ArrayList<>();
        puts.forEach((key, value) -> edits.add(new Put(key, value)));
        ConfigurationChange change = new ConfigurationChange(formatVersion, current.version(), "ann", "a test", edits);
        ConfigurationVersion version = current.version().next(term);
        ConfigurationSnapshot next = current.apply(version, change);
        AgreedChange agreed = new AgreedChange(version, change, next.digest());
        changes.add(agreed);
        states.add(next);
        return agreed;
    }

    AgreedChange add(String key, String value) {
        return add(ConfigurationChange.FORMAT_VERSION, 1, Map.of(key, value));
    }

    AgreedHistory addMany(int count) {
        for (int i = 0; i < count; i++) {
            add("key-" + i % 5, "value-" + i);
        }
        return this;
    }

    ConfigurationSnapshot current() {
        return states.get(states.size() - 1);
    }

    ConfigurationHead head(boolean quorum) {
        return new ConfigurationHead(current().version(), current().digest(), quorum);
    }
}
