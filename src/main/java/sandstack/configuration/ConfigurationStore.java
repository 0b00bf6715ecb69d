package sandstack.configuration;

import java.util.Map;

/** Keeps the last active configuration of a relay over a restart. Called on the follower's thread. */
public interface ConfigurationStore {
    /** What a store holds, not yet verified. */
    sealed interface Loaded {
        /** Nothing was stored. */
        record Absent() implements Loaded {}

        /** The stored state cannot be read. */
        record Unreadable(String problem) implements Loaded {}

        /** A state as it was stored, with the digest that was stored with it. */
        record Found(
                ConfigurationVersion version,
                int formatVersion,
                Map<String, String> entries,
                ConfigurationDigest digest)
                implements Loaded {}
    }

    /** Reads what is stored; called once, at start. */
    Loaded load();

    /**
     * Stores a change and the state after it, atomically.
     *
     * @throws ConfigurationStoreException where it may not have been stored
     */
    void apply(CommittedChange change, ConfigurationSnapshot after) throws ConfigurationStoreException;

    /**
     * Stores a complete state in place of the stored one.
     *
     * @throws ConfigurationStoreException where it may not have been stored
     */
    void replace(ConfigurationSnapshot snapshot) throws ConfigurationStoreException;
}
