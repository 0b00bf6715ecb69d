package sandstack.configuration;

/**
 * Bounds of what is committed and stored; sizes are in bytes of UTF-8. All control machines have to use the same.
 *
 * @param entryOverheadBytes counted for each entry in addition to its key and value
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
    /** The default limits: 1 MB in all. */
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

    /** Rejects bounds that are not positive. */
    public ConfigurationLimits {
        int smallest = Math.min(Math.min(maxKeyBytes, maxValueBytes), Math.min(maxAuthorBytes, maxReasonBytes));
        smallest = Math.min(smallest, Math.min(maxEditsPerChange, maxChangeBytes));
        smallest = Math.min(smallest, Math.min(maxEntries, maxConfigurationBytes));
        if (smallest <= 0 || entryOverheadBytes < 0) {
            throw new IllegalArgumentException("the smallest limit is " + smallest + " and entryOverheadBytes is "
                    + entryOverheadBytes + "; limits are positive, the overhead is not negative");
        }
    }
}
