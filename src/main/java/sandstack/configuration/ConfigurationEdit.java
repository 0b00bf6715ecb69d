package sandstack.configuration;

import java.util.Objects;

/** One edit of a change: a key gets a value or loses it. */
public sealed interface ConfigurationEdit {
    /** The key that is edited. */
    String key();

    /** The key has this value from then on. */
    record Put(String key, String value) implements ConfigurationEdit {
        /** Refuses nulls. */
        public Put {
            Objects.requireNonNull(key, "key");
            Objects.requireNonNull(value, "value");
        }
    }

    /** The key has no value from then on; it may have had none. */
    record Remove(String key) implements ConfigurationEdit {
        /** Refuses nulls. */
        public Remove {
            Objects.requireNonNull(key, "key");
        }
    }
}
