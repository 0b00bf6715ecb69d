package sandstack.configuration;

/** Sizes in bytes of UTF-8, counted without encoding. */
final class ConfigurationSize {
    private ConfigurationSize() {}

    /** The bytes of a text; an unpaired surrogate counts as the one byte that replaces it. */
    static long ofText(String text) {
        return text.codePoints().mapToLong(ConfigurationSize::ofCodePoint).sum();
    }

    private static long ofCodePoint(int codePoint) {
        if (codePoint < 0x80) {
            return 1;
        }
        if (codePoint < 0x800) {
            return 2;
        }
        if (codePoint >= Character.MIN_SURROGATE && codePoint <= Character.MAX_SURROGATE) {
            return 1;
        }
        return Character.isSupplementaryCodePoint(codePoint) ? 4 : 3;
    }

    /** The bytes of an entry, with the overhead that the limits count for each. */
    static long ofEntry(String key, String value, ConfigurationLimits limits) {
        return ofText(key) + ofText(value) + limits.entryOverheadBytes();
    }
}
