package sandstack.configuration;

import java.util.Objects;

/** One edit of a change: sets or removes the value of a key. Immutable. */
public sealed interface ConfigurationEdit {
    /** The key whose value this edit sets or removes. */
    String key();

    /** Sets the value of a key; adds the key if it is absent. */
    record Put(String key, String value) implements ConfigurationEdit {
        /** Creates an edit without checking its size, which {@link ChangeValidator} does. */
        public Put {
            Objects.requireNonNull(key, "key");
            Objects.requireNonNull(value, "value");
        }
    }

    /** Removes a key and its value; has no effect if the key is absent. */
    record Remove(String key) implements ConfigurationEdit {
        /** Creates an edit without checking its size, which {@link ChangeValidator} does. */
        public Remove {
            Objects.requireNonNull(key, "key");
        }
    }
}
