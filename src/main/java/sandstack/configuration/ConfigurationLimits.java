package sandstack.configuration;

/**
 * The maximum sizes (in bytes of UTF-8) and numbers of parts of a change and of the complete configuration. All control
 * machines must use the same limits, or they would disagree on which proposals are valid. Immutable.
 *
 * @param maxChangeBytes the sum of keys, values and entry overheads over all edits of a change
 * @param maxConfigurationBytes the sum of keys, values and entry overheads over all entries
 * @param entryOverheadBytes added to the size of each entry or edit, in addition to its key and value; may be 0
 */
public record ConfigurationLimits(
        int maxKeyBytes,
        int maxValueBytes,
        int maxAuthorBytes,
        int maxReasonBytes,
        int maxEditsPerChange,
        int maxChangeBytes,
        int maxEntries,
        int maxConfigurationBytes,
        int entryOverheadBytes) {
    /** The default limits: at most 10,000 entries and 1 MiB in total. */
    public static final ConfigurationLimits DEFAULT = new ConfigurationLimits(
            256, // maxKeyBytes
            64 << 10, // maxValueBytes
            128, // maxAuthorBytes
            512, // maxReasonBytes
            1_000, // maxEditsPerChange
            128 << 10, // maxChangeBytes
            10_000, // maxEntries
            1 << 20, // maxConfigurationBytes
            16); // entryOverheadBytes

    /**
     * Checks that all limits are positive and the overhead is not negative.
     *
     * @throws IllegalArgumentException if one is not
     */
    public ConfigurationLimits {
        int smallestLimit = Math.min(Math.min(maxKeyBytes, maxValueBytes), Math.min(maxAuthorBytes, maxReasonBytes));
        smallestLimit = Math.min(smallestLimit, Math.min(maxEditsPerChange, maxChangeBytes));
        smallestLimit = Math.min(smallestLimit, Math.min(maxEntries, maxConfigurationBytes));
        if (smallestLimit <= 0 || entryOverheadBytes < 0) {
            throw new IllegalArgumentException("the smallest limit is " + smallestLimit + " and entryOverheadBytes is "
                    + entryOverheadBytes + "; limits must be positive, and the overhead must not be negative");
        }
    }
}
