package sandstack.capacity;

/**
 * The part of its weight in a draw that a server keeps, by what is believed of how full it is. Stateless; every
 * method costs O(1).
 */
public final class RoomWeight {
    /** Used so far, a server weighs next to nothing. */
    public static final double USE_FULL = 0.4;
    /** Used so far, a server takes no more connections. */
    public static final double USE_LATE = 0.8;
    /** Used so far, a server's connections move as those of a slow one do. */
    public static final double USE_OVER = 1.0;

    /** Used so far, a server weighs less than others. */
    private static final double USE_SOME = 0.25;

    private static final double SOME_ROOM = 0.3;
    private static final double LITTLE_ROOM = 0.05;
    /** A delay of no more than the tightest message aim divided by this says nothing of how full a server is. */
    private static final double TELLING_DIVISOR_OF_AIM = 3;

    private RoomWeight() {}

    /** A server bounded by evidence weighs less the fuller it is, but never nothing: a guess closes no server. */
    public static double byFullness(double fullness) {
        return Math.max(LITTLE_ROOM, 1 - fullness * fullness);
    }

    /**
     * What the use of a server leaves of its weight.
     *
     * @param loadsKnown false where the use is a guess, which puts a server last and does not close it
     */
    public static double byUse(double use, boolean loadsKnown) {
        if (use >= USE_LATE && loadsKnown) {
            return 0;
        }
        return use >= USE_FULL ? LITTLE_ROOM : use >= USE_SOME ? SOME_ROOM : 1;
    }

    /** Whether a delay of messages is long enough to say how full the server is. */
    public static boolean isTelling(double delay, double messageAim) {
        return delay * TELLING_DIVISOR_OF_AIM > messageAim;
    }

    /** What a delay that {@linkplain #isTelling tells something} leaves of a server's weight. */
    public static double byDelay(double delay, double messageAim) {
        return delay >= messageAim ? 0 : SOME_ROOM;
    }
}
