package sandstack.random;

/**
 * A pseudo-random number generator, SplitMix64 (Steele, Lea and Flood, 2014), and hashes by FNV-1a with the finalizer
 * of the same generator. The same seed gives the same numbers on every machine. Not for cryptography.
 *
 * <p>An instance has one owner and is used by its thread only; the static methods may be called by any thread. Every
 * call takes a few shifts and multiplications and allocates nothing.
 */
public final class SeededRandom {
    /** Increment of the state: 2^64 divided by the golden ratio, made odd. */
    private static final long GOLDEN_GAMMA = 0x9e3779b97f4a7c15L;

    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    /** A double holds 53 significant bits; the others are dropped. */
    private static final int DROPPED_BITS = Long.SIZE - 53;

    private static final double UNIT_IN_LAST_PLACE = 0x1.0p-53;

    private long state;

    /** Creates a generator whose numbers depend on the seed only. */
    public SeededRandom(long seed) {
        state = mix(seed);
    }

    /** The next 64 bits, each equally likely to be 0 or 1. */
    public long next() {
        state += GOLDEN_GAMMA;
        return mix(state);
    }

    /** The next number, uniform in [0, 1). */
    public double uniform() {
        return (next() >>> DROPPED_BITS) * UNIT_IN_LAST_PLACE;
    }

    /** The finalizer of SplitMix64, a bijection of the 64-bit numbers. */
    public static long mix(long bits) {
        long mixed = (bits ^ (bits >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }

    /** The hash of a text: FNV-1a over its UTF-16 code units, mixed by {@link #mix}. */
    public static long hash(String text) {
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return mix(hash);
    }

    /** Maps a hash to (0, 1], so that its logarithm is finite. */
    public static double unit(long hash) {
        return ((hash >>> DROPPED_BITS) + 1) * UNIT_IN_LAST_PLACE;
    }
}
