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
    /**
     * Part of what would push a cold server over that all relays together may send it. Many permits lapse unused, where
     * none of a relay's clients comes in time.
     */
    public static final double MARGIN = 0.75;
    /** What a permit for a cold server makes it weigh against warm ones: it lapses, and their room does not. */
    private static final double PULL = 4;
    private static final double HOME_SHARE = 0.75;
    private long at;
    private long until = Long.MIN_VALUE;

    /** The server has just started. */
    public void restarted(long now) {
        at = now;
        until = Long.MIN_VALUE;
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

    /** The part of a server's budget for the relays of its own zone together, or for all others together. */
    public static double zonePart(boolean home) {
        return home ? HOME_SHARE : 1 - HOME_SHARE;
    }

    /** The part of a server's budget for one relay, of its own zone or of another. */
    public static double part(boolean home, int relays, int zones) {
        double near = Math.max(1, relays / (double) Math.max(1, zones));
        return zonePart(home) / (home ? near : Math.max(1, relays - near));
    }
}
