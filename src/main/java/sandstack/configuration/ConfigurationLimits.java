package sandstack.configuration;

/**
 * Bounds of what is agreed on and kept, in bytes of UTF-8 where they are sizes.
 *
 * @param entryOverheadBytes counted for each entry beside its key and value
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
    /** What holds where staff state nothing else: 1 MB in all. */
    public static final ConfigurationLimits DEFAULT =
            new ConfigurationLimits(256, 64 << 10, 128, 512, 1_000, 128 << 10, 10_000, 1 << 20, 16);

    /** Refuses bounds that are not positive. */
    public ConfigurationLimits {
        int smallest = Math.min(Math.min(maxKeyBytes, maxValueBytes), Math.min(maxAuthorBytes, maxReasonBytes));
        smallest = Math.min(smallest, Math.min(maxEditsPerChange, maxChangeBytes));
        smallest = Math.min(smallest, Math.min(maxEntries, maxConfigurationBytes));
        if (smallest <= 0 || entryOverheadBytes < 0) {
            throw new IllegalArgumentException("limits are positive numbers");
        }
    }
}
