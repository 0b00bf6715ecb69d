package sandstack.configuration;

/**
 * Bounds of what is agreed on and kept, in bytes of UTF-8 where they are sizes.
 *
 * @param entryBytes counted for each entry beside its key and value
 */
public record ConfigurationLimits(
        int keyBytes,
        int valueBytes,
        int authorBytes,
        int reasonBytes,
        int editsPerChange,
        int changeBytes,
        int entries,
        int configurationBytes,
        int entryBytes) {
    /** What holds where staff state nothing else: 1 MB in all. */
    public static final ConfigurationLimits DEFAULT =
            new ConfigurationLimits(256, 64 << 10, 128, 512, 1_000, 128 << 10, 10_000, 1 << 20, 16);

    /** Refuses bounds that are not positive. */
    public ConfigurationLimits {
        int least = Math.min(Math.min(keyBytes, valueBytes), Math.min(authorBytes, reasonBytes));
        least = Math.min(least, Math.min(editsPerChange, changeBytes));
        least = Math.min(least, Math.min(entries, configurationBytes));
        if (least <= 0 || entryBytes < 0) {
            throw new IllegalArgumentException("limits are positive numbers");
        }
    }
}
