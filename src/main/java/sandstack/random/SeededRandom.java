package sandstack.random;

/**
 * Random numbers by SplitMix64 (Steele, Lea, Flood, 2014) and hashes by FNV-1a with its finisher: the same seed gives
 * the same draws everywhere. An object has one owner and is used on its thread only; the static methods on any; each call is a few shifts.
 */
public final class SeededRandom {
    private long state;

    /** Creates a generator whose draws depend on the seed only. */
    public SeededRandom(long seed) {
        state = mix(seed);
    }

    /** The next draw: 64 bits, each equally likely. */
    public long next() {
        state += 0x9e3779b97f4a7c15L;
        return mix(state);
    }

    /** A number in [0, 1). */
    public double uniform() {
        return (next() >>> 11) * 0x1.0p-53;
    }

    /**
     * Mixes the bits of a number by SplitMix64's finisher, a one-to-one map of the 64-bit numbers.
     */
    public static long mix(long z) {
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }

    /** The hash of a text: FNV-1a over its UTF-16 code units, mixed by {@link #mix}. */
    public static long hash(String text) {
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * 0x100000001b3L;
        }
        return mix(h);
    }

    /** A number in (0, 1] from a hash. */
    public static double unit(long h) {
        return ((h >>> 11) + 1) * 0x1.0p-53;
    }
}
