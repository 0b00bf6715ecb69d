package sandstack.configuration;

import java.util.ArrayList;
import java.util.List;

/** Keeps what it is told. */
final class RecordingListener implements AgreedChangeListener {
    final List<AgreedChange> changes = new ArrayList<>();
    final List<ConfigurationSnapshot> restored = new ArrayList<>();

    @Override
    public void agreed(AgreedChange change) {
        changes.add(change);
    }

    @Override
    public void restored(ConfigurationSnapshot snapshot) {
        restored.add(snapshot);
    }
}
