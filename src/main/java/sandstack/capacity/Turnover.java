package sandstack.capacity;

/**
 * How often connections come back, seen by one relay of many. A client that was moved or broken off comes to a relay
 * by chance, so each relay gets a fair sample of what the whole fleet loses, also at servers that it has never used:
 * where relays outnumber servers this is all that a relay sees of a jam. What comes back is counted over one window,
 * older ones weighing exponentially less, and held against what stands here, evened over looks.
 *
 * <p>Two answers follow. What comes back together is spread over an interval that grows with how many they are, so that
 * no group moves as one crowd ("Exponential back-off, revisited", over a relay's clients instead of one's attempts).
 * And once more comes back in a window than stands here, connections do not hold: the part beyond is refused, until
 * the rest can stand. Owned by the decision module; one thread; every call is O(1). Times are microseconds.
 */
public final class Turnover {
    /** What one look weighs in the mean of what stands here. */
    private static final double LOOK = 0.25;

    private final long window;
    private double back;
    private long at;
    private double standing;

    /** @param window how long what came back counts */
    public Turnover(long window) {
        this.window = Math.max(1, window);
    }

    /** A client is here again after its connection broke or was moved. */
    public void cameBack(long now) {
        back = lately(now) + 1;
        at = now;
    }

    /** So many connections stand here, at one look. */
    public void stand(int count) {
        standing += (count - standing) * LOOK;
    }

    /** How many came back within a window. */
    public double lately(long now) {
        return back * Math.exp(-Math.max(0, now - at) / (double) window);
    }

    /**
     * The interval over which the start of one that came back is drawn.
     *
     * @param each what each of those that came back lately adds
     */
    public long spread(long now, long each) {
        return (long) Math.min(window / 2.0, each * lately(now));
    }

    /** The part of what is asked that cannot stand, 0 while no more comes back than stands here. */
    public double beyond(long now) {
        double came = lately(now);
        return came <= Math.max(1, standing) ? 0 : 1 - Math.max(1, standing) / came;
    }
}
