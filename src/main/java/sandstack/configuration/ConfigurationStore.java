package sandstack.configuration;

import java.util.Map;

/** Persists the active configuration of a relay across restarts. Called only on the follower's thread. */
public interface ConfigurationStore {
    /** The result of loading; its content is not verified yet. */
    sealed interface Loaded {
        /** The store is empty, as at the first start of a relay. */
        record Absent() implements Loaded {}

        /** The stored data cannot be read, for example because it is damaged; {@code problem} is for the log. */
        record Unreadable(String problem) implements Loaded {}

        /** A stored configuration with the digest that was stored with it; the caller compares the digest. */
        record Found(
                ConfigurationVersion version,
                int formatVersion,
                Map<String, String> entries,
                ConfigurationDigest digest)
                implements Loaded {}
    }

    /** Loads the stored configuration; called once, at start. */
    Loaded load();

    /**
     * Stores a change and the complete configuration after it, atomically.
     *
     * @param after the configuration after the change, for stores that keep complete configurations
     * @throws ConfigurationStoreException if the change may not have been stored
     */
    void apply(CommittedChange change, ConfigurationSnapshot after) throws ConfigurationStoreException;

    /**
     * Stores a complete configuration in place of the stored one.
     *
     * @throws ConfigurationStoreException if the configuration may not have been stored
     */
    void replace(ConfigurationSnapshot snapshot) throws ConfigurationStoreException;
}
