package sandstack.measure.scale.storm;

/**
 * What a simulated return goes by. Times are in microseconds.
 *
 * @param relays of the fleet, over all zones
 * @param zones one of these is lost
 * @param clientsEach connections that each relay held
 * @param feedServers that accepted clients are passed on to
 * @param acceptsEach set-ups that one relay makes a second
 * @param refusalCost what a refusal costs a relay, as a part of a set-up
 * @param patience a relay keeps a client waiting no longer; whoever would wait longer is refused at once
 * @param slot the unit of the back-off's intervals
 * @param firstInterval number of the interval that follows the first refusal
 * @param longestInterval number of the longest interval: it spans two to the power of this many slots
 * @param earliest of the moments between which clients spread themselves
 * @param latest of these moments
 * @param connectTimeout how soon a client that waits for nothing comes again
 */
public record StormSetting(
        int relays,
        int zones,
        int clientsEach,
        int feedServers,
        double acceptsEach,
        double refusalCost,
        long patience,
        long slot,
        int firstInterval,
        int longestInterval,
        long earliest,
        long latest,
        long connectTimeout) {
    private static final int PLANNED_RELAYS = 5_600;
    private static final int PLANNED_ZONES = 8;
    private static final int PLANNED_CLIENTS = 80_400;
    private static final int PLANNED_FEED_SERVERS = 1_000;
    /** Silent connections a second that half a core sets up (docs/ROADMAP.md, "Crowds"). */
    public static final double MEASURED_ACCEPTS = 570;

    private static final long DEADLINE = 1_800_000;
    /** A sixteenth of the tightest aim, 300 ms, as the decision module reckons it. */
    private static final long SLOT = 18_750;
    /** As the decision module has them. */
    public static final int FIRST_INTERVAL = 1;

    public static final int LONGEST_INTERVAL = 8;

    private static final long EARLIEST = 150_000;
    private static final long LATEST = 1_600_000;
    private static final long CONNECT_TIMEOUT = 100_000;

    /** The planned fleet with the measured rate of set-ups, where refusals cost nothing. */
    public static StormSetting planned() {
        return new StormSetting(
                PLANNED_RELAYS,
                PLANNED_ZONES,
                PLANNED_CLIENTS,
                PLANNED_FEED_SERVERS,
                MEASURED_ACCEPTS,
                0,
                DEADLINE,
                SLOT,
                FIRST_INTERVAL,
                LONGEST_INTERVAL,
                EARLIEST,
                LATEST,
                CONNECT_TIMEOUT);
    }

    /** The same with another number of relays. */
    public StormSetting withRelays(int count) {
        return new StormSetting(
                count,
                zones,
                clientsEach,
                feedServers,
                acceptsEach,
                refusalCost,
                patience,
                slot,
                firstInterval,
                longestInterval,
                earliest,
                latest,
                connectTimeout);
    }

    /** The same with another rate of set-ups. */
    public StormSetting withAccepts(double each) {
        return new StormSetting(
                relays,
                zones,
                clientsEach,
                feedServers,
                each,
                refusalCost,
                patience,
                slot,
                firstInterval,
                longestInterval,
                earliest,
                latest,
                connectTimeout);
    }

    /** The same with refusals that cost this part of a set-up. */
    public StormSetting withRefusalCost(double part) {
        return new StormSetting(
                relays,
                zones,
                clientsEach,
                feedServers,
                acceptsEach,
                part,
                patience,
                slot,
                firstInterval,
                longestInterval,
                earliest,
                latest,
                connectTimeout);
    }

    /** The same with another longest interval. */
    public StormSetting withLongestInterval(int n) {
        return new StormSetting(
                relays,
                zones,
                clientsEach,
                feedServers,
                acceptsEach,
                refusalCost,
                patience,
                slot,
                firstInterval,
                n,
                earliest,
                latest,
                connectTimeout);
    }

    /** The same with intervals that begin at this one. */
    public StormSetting withFirstInterval(int n) {
        return new StormSetting(
                relays,
                zones,
                clientsEach,
                feedServers,
                acceptsEach,
                refusalCost,
                patience,
                slot,
                n,
                Math.max(n, longestInterval),
                earliest,
                latest,
                connectTimeout);
    }

    /** Relays of the zones that remain. */
    public int remaining() {
        return relays - relays / zones;
    }

    /** Clients that have to find another relay. */
    public long lostClients() {
        return (long) (relays / zones) * clientsEach;
    }

    /** Seconds that the remaining relays need at least, were no attempt wasted. */
    public double leastSeconds() {
        return lostClients() / (remaining() * acceptsEach);
    }
}
