package sandstack.configuration;

import java.util.Optional;

/** Whether the program can use a configuration; asked before a change is agreed on and before a state is put in force. */
@FunctionalInterface
public interface ConfigurationCheck {
    /** Takes every state. */
    ConfigurationCheck NONE = snapshot -> Optional.empty();

    /** What makes this state unusable, as one line that names the key; empty where it can be used. */
    Optional<String> findProblem(ConfigurationSnapshot snapshot);
}
