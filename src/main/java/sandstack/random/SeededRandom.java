package sandstack.random;

/**
 * A pseudo-random number generator, SplitMix64 (Steele, Lea and Flood, 2014), and a hash function, FNV-1a followed by
 * the finalizer of SplitMix64. The same seed gives the same numbers on every machine. Not for cryptography.
 *
 * <p>An instance has one owner and is used by that owner's thread only; the static methods are thread-safe. Every call
 * but {@link #hash} is O(1), and none allocates memory.
 */
public final class SeededRandom {
    /** Increment of the state: 2^64 divided by the golden ratio, made odd. */
    private static final long GOLDEN_GAMMA = 0x9e3779b97f4a7c15L;

    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    /** Number of low bits dropped, so that the rest fits into the 53-bit significand of a double. */
    private static final int DROPPED_BITS = Long.SIZE - 53;

    private static final double UNIT_IN_LAST_PLACE = 0x1.0p-53;

    private long state;

    /** Creates a generator whose numbers depend on the seed only. */
    public SeededRandom(long seed) {
        state = mix(seed);
    }

    /** The next number, uniform over all 64-bit values. */
    public long next() {
        state += GOLDEN_GAMMA;
        return mix(state);
    }

    /** The next number, uniform in [0, 1). */
    public double uniform() {
        return (next() >>> DROPPED_BITS) * UNIT_IN_LAST_PLACE;
    }

    /** The finalizer of SplitMix64, a bijection on 64-bit numbers. */
    public static long mix(long bits) {
        long mixed = (bits ^ (bits >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }

    /** A hash of the text: FNV-1a over its UTF-16 code units, followed by {@link #mix}. */
    public static long hash(String text) {
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return mix(hash);
    }

    /** Maps a hash to (0, 1], so that its logarithm is finite. */
    public static double toUnitInterval(long hash) {
        return ((hash >>> DROPPED_BITS) + 1) * UNIT_IN_LAST_PLACE;
    }
}
