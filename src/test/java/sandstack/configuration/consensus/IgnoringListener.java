package sandstack.configuration.consensus;

import sandstack.configuration.CommittedChange;
import sandstack.configuration.CommittedChangeListener;
import sandstack.configuration.ConfigurationSnapshot;

/** A listener for tests that read the state from the state machine itself. */
final class IgnoringListener implements CommittedChangeListener {
    @Override
    public void committed(CommittedChange change) {}

    @Override
    public void restored(ConfigurationSnapshot snapshot) {}
}
