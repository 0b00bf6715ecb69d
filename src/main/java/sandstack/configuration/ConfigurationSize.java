package sandstack.configuration;

/** Computes sizes in bytes of UTF-8 without encoding the text. */
final class ConfigurationSize {
    private ConfigurationSize() {}

    /**
     * The size of a text. An unpaired surrogate counts as one byte, as the encoder replaces it with a question mark.
     */
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

    /** The size of a key and its value, plus {@link ConfigurationLimits#entryOverheadBytes}. */
    static long ofEntry(String key, String value, ConfigurationLimits limits) {
        return ofText(key) + ofText(value) + limits.entryOverheadBytes();
    }
}
