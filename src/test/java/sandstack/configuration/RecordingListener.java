package sandstack.configuration;

import java.util.ArrayList;
import java.util.List;

/** Records the changes and snapshots that it is called with, in order. */
final class RecordingListener implements CommittedChangeListener {
    final List<CommittedChange> committed = new ArrayList<>();
    final List<ConfigurationSnapshot> restored = new ArrayList<>();

    @Override
    public void committed(CommittedChange change) {
        committed.add(change);
    }

    @Override
    public void restored(ConfigurationSnapshot snapshot) {
        restored.add(snapshot);
    }
}
