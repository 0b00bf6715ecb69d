package sandstack.configuration.consensus;

import sandstack.configuration.CommittedChange;
import sandstack.configuration.CommittedChangeListener;
import sandstack.configuration.ConfigurationSnapshot;

/** Does nothing with what it is told. */
final class IgnoringListener implements CommittedChangeListener {
    @Override
    public void committed(CommittedChange change) {}

    @Override
    public void restored(ConfigurationSnapshot snapshot) {}
}
