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
    /** A cold server falls past N + 2 root N + 2 requests in the window, N being what the settings allow it then. */
    private static final double CHANCE = 2;

    private static final double BESIDES = 2;
    /** What relays that do not know of each other send spreads by its root: so many of them have to fit below the fall. */
    private static final double DEVIATIONS = 3;
    /** What a permit for a cold server makes it weigh against warm ones: it lapses, and their room does not. */
    private static final double PULL = 1_000;
    /** Sends that one relay counts; past them a server is so large that chance evens out. */
    private static final int COUNTED = 32;

    private static final double HOME_SHARE = 0.75;
    private long at;
    private long firstAt;
    private long until = Long.MIN_VALUE;
    /** When this relay last sent, newest last, around; null until a server has been cold. */
    private long[] sent;

    private int sends;

    /**
     * What holds of cold servers, by the settings.
     *
     * @param multiple of what it can do then, past which a server falls
     * @param window in which that counts, in microseconds
     * @param relays all that place connections at it
     * @param zones over which they are spread
     */
    public record Rule(double multiple, long window, int relays, int zones) {
        /** Requests a window that push a server over which the settings allow so many. */
        double falls(double allowed) {
            return allowed + CHANCE * Math.sqrt(allowed) + BESIDES;
        }

        /** How many one of so many processes may send in a window: no more than its part of a fall, and one at least. */
        int most(double allowed, int processes) {
            return (int) Math.min(COUNTED, Math.max(1, falls(allowed) / (relays * processes)));
        }

        /**
         * For how many requests a window all relays together have permits. Relays that draw without knowing of each
         * other send so many with a spread of its root, but for what each counts of its own: the mean that stays below
         * the fall by three of those is what may be sent in all, and never more than one such root above what is
         * allowed. Those who come for the first time are a part of it. The rest has to bear a crowd after a quiet time:
         * what was permitted and not spent, one at each relay at the most, and on top of that as much as a window
         * permits.
         *
         * @param first of what is allowed, how many come for the first time
         */
        double permits(double allowed, double first) {
            double spread = DEVIATIONS * Math.sqrt((relays - 1.0) / relays);
            double root = (Math.sqrt(spread * spread + 4 * falls(allowed)) - spread) / 2;
            double left = Math.max(0, Math.min(root * root, allowed + Math.sqrt(allowed) + 1) - first);
            return Math.max(left / 2, (left - near(relays, zones)) / (2 - HOME_SHARE));
        }
    }

    /** The server has just started. */
    public void restarted(long now) {
        at = now;
        firstAt = now;
        until = Long.MIN_VALUE;
        sends = 0;
    }

    /**
     * Whether a cold server may be sent one more now.
     *
     * @param processes that are this relay together
     * @param fill what it can take, requests a microsecond
     * @param home whether it is in this relay's zone
     * @param first whether the client comes for the first time; who comes back does so with others and needs a permit
     * @param chance draws from [0, 1)
     */
    public boolean allowsCold(
            Rule rule, int processes, double fill, boolean home, boolean first, long now, DoubleSupplier chance) {
        double allowed = fill * rule.window * rule.multiple;
        if (sentSince(now - rule.window) >= rule.most(allowed, processes)) {
            return false;
        }
        double part = part(home, rule.relays, rule.zones) / processes;
        if (first && allowsFirst(fill * part, now, chance.getAsDouble())) {
            return true;
        }
        double rate = rule.permits(allowed, fill * rule.window) / rule.window;
        return allows(rate * part, rule.window, now, chance);
    }

    private int sentSince(long from) {
        int count = 0;
        while (count < Math.min(sends, COUNTED) && sent[Math.floorMod(sends - 1 - count, COUNTED)] > from) {
            count++;
        }
        return count;
    }

    /**
     * Whether one that comes for the first time may be sent now. Such requests come to each relay by chance and not to
     * all together: the draw is as likely as there was time since the one before, so that all relays together send what
     * their rates add up to, however seldom each is asked.
     *
     * @param rate requests a microsecond
     */
    private boolean allowsFirst(double rate, long now, double draw) {
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

    /** One has been sent: its permit, if it had one, is used up. */
    public void spend(long now) {
        until = Long.MIN_VALUE;
        if (sent == null) {
            sent = new long[COUNTED];
        }
        sent[sends++ % COUNTED] = now;
    }

    /** What a server of this warmth weighs in a draw, once there is a permit where it needs one. */
    public static double pull(double warmth) {
        return warmth < 1 ? PULL : 1;
    }

    /** The part of a server's budget for the relays of its own zone together, or for all others together. */
    private static double zonePart(boolean home) {
        return home ? HOME_SHARE : 1 - HOME_SHARE;
    }

    /** How many relays a zone has. */
    private static double near(int relays, int zones) {
        return Math.max(1, relays / (double) Math.max(1, zones));
    }

    /** The part of a server's budget for one relay, of its own zone or of another. */
    public static double part(boolean home, int relays, int zones) {
        double near = near(relays, zones);
        if (near >= relays) {
            return 1.0 / relays;
        }
        return zonePart(home) / (home ? near : Math.max(1, relays - near));
    }
}
