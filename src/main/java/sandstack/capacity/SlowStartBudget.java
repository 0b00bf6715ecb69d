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
public final class SlowStartBudget {
    /** A cold server falls past N + 2 root N + 2 requests in the window, N being what the settings allow it then. */
    private static final double ROOT_MARGIN = 2;

    private static final double CONSTANT_MARGIN = 2;
    /** What relays that do not know of each other send spreads by its root: so many of them have to fit below the fall. */
    private static final double MARGIN_DEVIATIONS = 3;
    /** What a permit for a cold server makes it weigh against warm ones: it lapses, and their room does not. */
    private static final double PERMIT_SELECTION_WEIGHT = 1_000;
    /** Sends that one relay counts; past them a server is so large that chance evens out. */
    private static final int MAX_COUNTED_SENDS = 32;

    private static final double HOME_ZONE_SHARE = 0.75;
    private long permitCheckedAtMicros;
    private long newClientCheckedAtMicros;
    private long permitValidUntilMicros = Long.MIN_VALUE;
    /** When this relay last sent, newest last, around; null until a server has been cold. */
    private long[] sendTimesMicros;

    private int sendCount;

    /**
     * What holds of cold servers, by the settings.
     *
     * @param overloadMultiple of what it can do then, past which a server falls
     * @param windowMicros in which that counts, in microseconds
     * @param relayCount all that place connections at it
     * @param zoneCount over which they are spread
     */
    public record Rule(double overloadMultiple, long windowMicros, int relayCount, int zoneCount) {
        /** Requests a window that push a server over which the settings allow so many. */
        double overloadingRequests(double allowedRequests) {
            return allowedRequests + ROOT_MARGIN * Math.sqrt(allowedRequests) + CONSTANT_MARGIN;
        }

        /** How many one of so many processes may send in a window: no more than its part of a fall, and one at least. */
        int maxSendsPerWindow(double allowedRequests, int processCount) {
            return (int) Math.min(
                    MAX_COUNTED_SENDS, Math.max(1, overloadingRequests(allowedRequests) / (relayCount * processCount)));
        }

        /**
         * For how many requests a window all relays together have permits. Relays that draw without knowing of each
         * other send so many with a spread of its root, but for what each counts of its own: the mean that stays below
         * the fall by three of those is what may be sent in all, and never more than one such root above what is
         * allowed. Those who come for the first time are a part of it. The rest has to bear a crowd after a quiet time:
         * what was permitted and not spent, one at each relay at the most, and on top of that as much as a window
         * permits.
         *
         * @param newClientRequests of what is allowed, how many come for the first time
         */
        double permitsPerWindow(double allowedRequests, double newClientRequests) {
            double spread = MARGIN_DEVIATIONS * Math.sqrt((relayCount - 1.0) / relayCount);
            double root = (Math.sqrt(spread * spread + 4 * overloadingRequests(allowedRequests)) - spread) / 2;
            double remaining = Math.max(
                    0, Math.min(root * root, allowedRequests + Math.sqrt(allowedRequests) + 1) - newClientRequests);
            return Math.max(remaining / 2, (remaining - relaysPerZone(relayCount, zoneCount)) / (2 - HOME_ZONE_SHARE));
        }
    }

    /** The server has just started. */
    public void onRestart(long nowMicros) {
        permitCheckedAtMicros = nowMicros;
        newClientCheckedAtMicros = nowMicros;
        permitValidUntilMicros = Long.MIN_VALUE;
        sendCount = 0;
    }

    /**
     * Whether a cold server may be sent one more now.
     *
     * @param processCount that are this relay together
     * @param requestsPerMicro what it can take, requests a microsecond
     * @param homeZone whether it is in this relay's zone
     * @param newClient whether the client comes for the first time; who comes back does so with others and needs a permit
     * @param uniformDraws draws from [0, 1)
     */
    public boolean admitsDuringSlowStart(
            Rule rule,
            int processCount,
            double requestsPerMicro,
            boolean homeZone,
            boolean newClient,
            long nowMicros,
            DoubleSupplier uniformDraws) {
        double allowedRequests = requestsPerMicro * rule.windowMicros * rule.overloadMultiple;
        if (sendsSince(nowMicros - rule.windowMicros) >= rule.maxSendsPerWindow(allowedRequests, processCount)) {
            return false;
        }
        double relayShare = relayShare(homeZone, rule.relayCount, rule.zoneCount) / processCount;
        if (newClient && admitsNewClient(requestsPerMicro * relayShare, nowMicros, uniformDraws.getAsDouble())) {
            return true;
        }
        double permitsPerMicro =
                rule.permitsPerWindow(allowedRequests, requestsPerMicro * rule.windowMicros) / rule.windowMicros;
        return hasPermit(permitsPerMicro * relayShare, rule.windowMicros, nowMicros, uniformDraws);
    }

    private int sendsSince(long sinceMicros) {
        int count = 0;
        while (count < Math.min(sendCount, MAX_COUNTED_SENDS)
                && sendTimesMicros[Math.floorMod(sendCount - 1 - count, MAX_COUNTED_SENDS)] > sinceMicros) {
            count++;
        }
        return count;
    }

    /**
     * Whether one that comes for the first time may be sent now. Such requests come to each relay by chance and not to
     * all together: the draw is as likely as there was time since the one before, so that all relays together send what
     * their rates add up to, however seldom each is asked.
     *
     * @param requestsPerMicro requests a microsecond
     */
    private boolean admitsNewClient(double requestsPerMicro, long nowMicros, double uniformDraw) {
        double probability = 1 - Math.exp(-requestsPerMicro * (nowMicros - newClientCheckedAtMicros));
        newClientCheckedAtMicros = nowMicros;
        return uniformDraw < probability;
    }

    /**
     * Whether one may be sent now.
     *
     * @param permitsPerMicro permits a microsecond
     * @param validityMicros how long one holds, in microseconds
     * @param uniformDraws draws from [0, 1)
     */
    public boolean hasPermit(double permitsPerMicro, long validityMicros, long nowMicros, DoubleSupplier uniformDraws) {
        long elapsedMicros = Math.min(validityMicros, nowMicros - permitCheckedAtMicros);
        permitCheckedAtMicros = nowMicros;
        if (nowMicros < permitValidUntilMicros) {
            return true;
        }
        if (elapsedMicros > 0 && uniformDraws.getAsDouble() < 1 - Math.exp(-permitsPerMicro * elapsedMicros)) {
            permitValidUntilMicros = nowMicros + validityMicros - (long) (elapsedMicros * uniformDraws.getAsDouble());
        }
        return nowMicros < permitValidUntilMicros;
    }

    /** One has been sent: its permit, if it had one, is used up. */
    public void onSent(long nowMicros) {
        permitValidUntilMicros = Long.MIN_VALUE;
        if (sendTimesMicros == null) {
            sendTimesMicros = new long[MAX_COUNTED_SENDS];
        }
        sendTimesMicros[sendCount++ % MAX_COUNTED_SENDS] = nowMicros;
    }

    /** What a server of this warmth weighs in a draw, once there is a permit where it needs one. */
    public static double selectionWeight(double slowStartFraction) {
        return slowStartFraction < 1 ? PERMIT_SELECTION_WEIGHT : 1;
    }

    /** The part of a server's budget for the relays of its own zone together, or for all others together. */
    private static double zoneShare(boolean homeZone) {
        return homeZone ? HOME_ZONE_SHARE : 1 - HOME_ZONE_SHARE;
    }

    /** How many relays a zone has. */
    private static double relaysPerZone(int relayCount, int zoneCount) {
        return Math.max(1, relayCount / (double) Math.max(1, zoneCount));
    }

    /** The part of a server's budget for one relay, of its own zone or of another. */
    public static double relayShare(boolean homeZone, int relayCount, int zoneCount) {
        double relaysPerZone = relaysPerZone(relayCount, zoneCount);
        if (relaysPerZone >= relayCount) {
            return 1.0 / relayCount;
        }
        return zoneShare(homeZone) / (homeZone ? relaysPerZone : Math.max(1, relayCount - relaysPerZone));
    }
}
