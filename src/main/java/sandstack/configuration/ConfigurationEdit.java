package sandstack.configuration;

import java.util.Objects;

/** One edit of a change: sets or removes the value of a key. */
public sealed interface ConfigurationEdit {
    /** The key that is edited. */
    String key();

    /** Sets the value of a key. */
    record Put(String key, String value) implements ConfigurationEdit {
        /** Rejects null. */
        public Put {
            Objects.requireNonNull(key, "key");
            Objects.requireNonNull(value, "value");
        }
    }

    /** Removes the value of a key, if it has one. */
    record Remove(String key) implements ConfigurationEdit {
        /** Rejects null. */
        public Remove {
            Objects.requireNonNull(key, "key");
        }
    }
}
