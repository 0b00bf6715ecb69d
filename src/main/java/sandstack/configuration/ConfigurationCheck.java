package sandstack.configuration;

import java.util.Optional;

/**
 * Decides whether the software can use a configuration. Evaluated before a change is committed and before a
 * configuration is activated, so it must be deterministic: the same on every machine.
 */
@FunctionalInterface
public interface ConfigurationCheck {
    /** Accepts every configuration. */
    ConfigurationCheck NONE = snapshot -> Optional.empty();

    /** Why a configuration is unusable, in one line that names the key; empty if it is usable. */
    Optional<String> findProblem(ConfigurationSnapshot snapshot);
}
