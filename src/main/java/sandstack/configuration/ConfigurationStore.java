package sandstack.configuration;

import java.util.Map;

/** Keeps the last good configuration of a relay over a restart. */
public interface ConfigurationStore {
    /** What a store holds, not yet verified. */
    sealed interface Loaded {
        /** Nothing was ever stored. */
        record Absent() implements Loaded {}

        /** Something is there and cannot be read. */
        record Unreadable(String problem) implements Loaded {}

        /** A state as it was stored, with the digest that was stored beside it. */
        record Found(
                ConfigurationVersion version,
                int formatVersion,
                Map<String, String> entries,
                ConfigurationDigest digest)
                implements Loaded {}
    }

    /** Read once, at start. */
    Loaded load();

    /**
     * Keeps a change and what it leads to, together or not at all.
     *
     * @throws ConfigurationStoreException where it may not be kept
     */
    void apply(CommittedChange change, ConfigurationSnapshot after) throws ConfigurationStoreException;

    /**
     * Keeps a whole state in place of what was there.
     *
     * @throws ConfigurationStoreException where it may not be kept
     */
    void replace(ConfigurationSnapshot snapshot) throws ConfigurationStoreException;
}
