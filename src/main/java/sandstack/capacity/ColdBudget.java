package sandstack.capacity;

import java.util.function.DoubleSupplier;

/**
 * What one relay may send a server that is cold, or that has just been late: permits that come at random at this
 * relay's part of the rate that the whole fleet is allowed, hold for a moment and then lapse. Permits of many relays
 * would otherwise gather while nothing is asked for, and be spent together in the first crowd; lapsing keeps what the
 * fleet can spend at once to what it may spend in one such moment, without a word between the relays.
 *
 * <p>Owned by the module's record of the server; one thread; O(1). The method is our own: a Poisson process thinned by
 * the number of relays, looked at when there is something to send.
 */
public final class ColdBudget {
    /** A cold server falls past N + 3 root N + 3 requests in the window, N being what the settings allow it then. */
    private static final double DEVIATIONS = 3;
    private static final double BESIDES = 3;
    /** What a permit for a cold server makes it weigh against warm ones: it lapses, and their room does not. */
    private static final double PULL = 4;
    private static final double HOME_SHARE = 0.75;
    private long at;
    private long firstAt;
    private long until = Long.MIN_VALUE;

    /** The server has just started. */
    public void restarted(long now) {
        at = now;
        firstAt = now;
        until = Long.MIN_VALUE;
    }

    /**
     * Whether one that comes for the first time may be sent now. Such requests come to each relay by chance and not to
     * all together: the draw is as likely as there was time since the one before, so that all relays together send what
     * their rates add up to, however seldom each is asked.
     *
     * @param rate requests a microsecond
     */
    public boolean allowsFirst(double rate, long now, double draw) {
        double likely = 1 - Math.exp(-rate * (now - firstAt));
        firstAt = now;
        return draw < likely;
    }

    /**
     * Whether one may be sent now.
     *
     * @param rate permits a microsecond
     * @param valid how long one holds, in microseconds
     * @param chance draws from [0, 1)
     */
    public boolean allows(double rate, long valid, long now, DoubleSupplier chance) {
        long since = Math.min(valid, now - at);
        at = now;
        if (now < until) {
            return true;
        }
        if (since > 0 && chance.getAsDouble() < 1 - Math.exp(-rate * since)) {
            until = now + valid - (long) (since * chance.getAsDouble());
        }
        return now < until;
    }

    public void spend() {
        until = Long.MIN_VALUE;
    }

    /** What a server of this warmth weighs in a draw, once there is a permit where it needs one. */
    public static double pull(double warmth) {
        return warmth < 1 ? PULL : 1;
    }

    /**
     * For how many requests a window all relays together have permits. Relays that draw without knowing of each other
     * send so many with a spread of its root: the mean that stays below the fall by three of those is what may be sent in
     * all. Those who come for the first time are a part of it. The rest has to bear a crowd after a quiet time: what was
     * permitted and not spent, one at each relay at the most, and on top of that as much as a window permits.
     *
     * @param allowed requests a window by the settings
     * @param first of them, how many come for the first time
     * @param near relays of the server's zone, which have most of the permits
     */
    public static double permits(double allowed, double first, double near) {
        double falls = allowed + DEVIATIONS * Math.sqrt(allowed) + BESIDES;
        double root = (Math.sqrt(DEVIATIONS * DEVIATIONS + 4 * falls) - DEVIATIONS) / 2;
        double left = Math.max(0, root * root - first);
        return Math.max(left / 2, (left - near) / (2 - HOME_SHARE));
    }

    /** The part of a server's budget for the relays of its own zone together, or for all others together. */
    public static double zonePart(boolean home) {
        return home ? HOME_SHARE : 1 - HOME_SHARE;
    }

    /** How many relays a zone has. */
    public static double near(int relays, int zones) {
        return Math.max(1, relays / (double) Math.max(1, zones));
    }

    /** The part of a server's budget for one relay, of its own zone or of another. */
    public static double part(boolean home, int relays, int zones) {
        double near = near(relays, zones);
        return zonePart(home) / (home ? near : Math.max(1, relays - near));
    }
}
