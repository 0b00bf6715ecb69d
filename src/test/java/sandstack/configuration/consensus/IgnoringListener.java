package sandstack.configuration.consensus;

import sandstack.configuration.CommittedChange;
import sandstack.configuration.CommittedChangeListener;
import sandstack.configuration.ConfigurationSnapshot;

/** Ignores all changes and snapshots. */
final class IgnoringListener implements CommittedChangeListener {
    @Override
    public void committed(CommittedChange change) {}

    @Override
    public void restored(ConfigurationSnapshot snapshot) {}
}
