package sandstack.configuration;

import java.util.Optional;

/**
 * Whether the program can use a configuration; evaluated before a change is committed and before a state is activated.
 */
@FunctionalInterface
public interface ConfigurationCheck {
    /** Accepts every state. */
    ConfigurationCheck NONE = snapshot -> Optional.empty();

    /** What makes this state unusable, in one line that names the key; empty where it is usable. */
    Optional<String> findProblem(ConfigurationSnapshot snapshot);
}
