package sandstack.configuration;

/** Sizes in bytes of UTF-8, counted without encoding. */
final class ConfigurationSize {
    private ConfigurationSize() {}

    /** Bytes of a text; a lone surrogate counts as the one byte that replaces it. */
    static long ofText(String text) {
        long bytes = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (Character.isHighSurrogate(c) && i + 1 < text.length() && Character.isLowSurrogate(text.charAt(i + 1))) {
                bytes += 4;
                i++;
            } else if (Character.isSurrogate(c)) {
                bytes++;
            } else {
                bytes += c < 0x80 ? 1 : c < 0x800 ? 2 : 3;
            }
        }
        return bytes;
    }

    /** Bytes of an entry with what is counted for each. */
    static long ofEntry(String key, String value, ConfigurationLimits limits) {
        return ofText(key) + ofText(value) + limits.entryBytes();
    }
}
