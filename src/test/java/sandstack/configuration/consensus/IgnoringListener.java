package sandstack.configuration.consensus;

import sandstack.configuration.AgreedChange;
import sandstack.configuration.AgreedChangeListener;
import sandstack.configuration.ConfigurationSnapshot;

/** Does nothing with what it is told. */
final class IgnoringListener implements AgreedChangeListener {
    @Override
    public void agreed(AgreedChange change) {}

    @Override
    public void restored(ConfigurationSnapshot snapshot) {}
}
