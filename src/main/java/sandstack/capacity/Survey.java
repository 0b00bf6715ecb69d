package sandstack.capacity;

/**
 * What one draw saw of the servers that it might have taken, and what follows where it took none. What is kept free
 * for classes of more worth is trunk reservation (Key, 1990): where all servers are bounded and nearly full it keeps
 * nearly all of the room in use, and has no state of its own that could oscillate. One thread; O(1).
 */
public final class Survey {
    /** Part of all bounds that is closed to the class of least worth; those between keep less. */
    private static final double PART = 0.03;
    /** Below this part of all bounds, other relays have mostly taken what looks free from here. */
    private static final double SCARCE = 0.1;

    private final double[] part;
    private double free = Double.POSITIVE_INFINITY;
    private double bounds;
    private int full;
    private int limited;
    private int open;

    /**
     * Creates a survey that has seen no server yet.
     *
     * @param worth of each class
     */
    public Survey(double[] worth) {
        part = new double[worth.length];
        for (int c = 0; c < worth.length; c++) {
            int above = 0;
            for (double other : worth) {
                above += other > worth[c] ? 1 : 0;
            }
            part[c] = worth.length < 2 ? 0 : PART * above / (worth.length - 1);
        }
    }

    /** Begins anew. */
    public void clear() {
        free = 0;
        bounds = 0;
        full = 0;
        limited = 0;
        open = 0;
    }

    /**
     * One more server that is ready and without a mark; returns whether it may take one more.
     *
     * @param over a limit of the installation closes it
     */
    public boolean open(Estimate server, boolean over, long now) {
        free += server.free();
        bounds += server.bound();
        boolean closed = !over && !server.open(now);
        limited += over ? 1 : 0;
        full += closed ? 1 : 0;
        open += over || closed ? 0 : 1;
        return !over && !closed;
    }

    /** Whether so little is free that one more attempt would most likely be turned away too. */
    public boolean scarce() {
        return free < bounds * SCARCE;
    }

    /** Whether a class may have some of what is free. */
    public boolean admits(int requestClass) {
        return part[requestClass] == 0 || !(free < bounds * part[requestClass]);
    }

    /** Why a request of this class cannot be placed, where waiting would not help; null where it may. */
    public Cause closed(int requestClass) {
        if (open > 0) {
            return admits(requestClass) ? null : Cause.RESERVED;
        }
        return full + limited == 0 ? null : limited > full ? Cause.SERVER_LIMIT : Cause.FULL;
    }
}
