package sandstack.measure.scale.storm;

/** Settings of a simulated retry storm. */
public record RetryStormSettings(Fleet fleet, Admission admission, Backoff backoff, Clients clients) {
    /** Number of idle connections that a relay sets up per second on half a core (docs/ROADMAP.md, "Crowds"). */
    public static final double MEASURED_SETUPS_PER_SECOND = 570;

    private static final Fleet PLANNED_FLEET = new Fleet(5_600, 8, 80_400, 1_000);
    private static final Admission MEASURED_ADMISSION = new Admission(MEASURED_SETUPS_PER_SECOND, 0, 1_800_000);
    /** The load balancer's backoff: a slot is a sixteenth of the shortest latency objective, 300 ms. */
    private static final Backoff LOAD_BALANCER_BACKOFF = new Backoff(18_750, 1, 8);

    private static final Clients DEFAULT_CLIENTS = new Clients(150_000, 1_600_000, 100_000);

    /**
     * The fleet, which loses one zone.
     *
     * @param relays number in all zones
     * @param zones number of zones of equal size
     * @param clientsPerRelay connections of each relay before the loss
     * @param feedServers number of feed servers to which accepted clients are forwarded
     */
    public record Fleet(int relays, int zones, int clientsPerRelay, int feedServers) {}

    /**
     * Admission control of a relay.
     *
     * @param setupsPerSecond connections that the relay can set up per second
     * @param rejectionCost cost of a rejection, as a fraction of a setup
     * @param maxQueueMicros maximum queueing delay; clients that would wait longer are rejected immediately
     */
    public record Admission(double setupsPerSecond, double rejectionCost, long maxQueueMicros) {}

    /**
     * The exponential backoff behind the Retry-After of a rejection: interval n spans 2^n slots.
     *
     * @param slotMicros length of a slot
     * @param firstInterval interval after a client's first rejection
     * @param lastInterval largest interval
     */
    public record Backoff(long slotMicros, int firstInterval, int lastInterval) {}

    /**
     * Delays of clients without Retry-After.
     *
     * @param minSpreadMicros smallest random delay
     * @param maxSpreadMicros largest random delay, exclusive
     * @param connectTimeoutMicros retry delay of a client that does not spread its attempts
     */
    public record Clients(long minSpreadMicros, long maxSpreadMicros, long connectTimeoutMicros) {}

    /** The planned fleet with {@link #MEASURED_SETUPS_PER_SECOND} and rejections without cost. */
    public static RetryStormSettings planned() {
        return new RetryStormSettings(PLANNED_FLEET, MEASURED_ADMISSION, LOAD_BALANCER_BACKOFF, DEFAULT_CLIENTS);
    }

    /** A copy with another number of relays. */
    public RetryStormSettings withRelays(int relays) {
        Fleet changed = new Fleet(relays, fleet.zones(), fleet.clientsPerRelay(), fleet.feedServers());
        return new RetryStormSettings(changed, admission, backoff, clients);
    }

    /** A copy with another setup rate. */
    public RetryStormSettings withSetupsPerSecond(double setupsPerSecond) {
        Admission changed = new Admission(setupsPerSecond, admission.rejectionCost(), admission.maxQueueMicros());
        return new RetryStormSettings(fleet, changed, backoff, clients);
    }

    /** A copy with rejections that cost this fraction of a setup. */
    public RetryStormSettings withRejectionCost(double fraction) {
        Admission changed = new Admission(admission.setupsPerSecond(), fraction, admission.maxQueueMicros());
        return new RetryStormSettings(fleet, changed, backoff, clients);
    }

    /** A copy with another last interval. */
    public RetryStormSettings withLastInterval(int lastInterval) {
        return new RetryStormSettings(
                fleet, admission, new Backoff(backoff.slotMicros(), backoff.firstInterval(), lastInterval), clients);
    }

    /** A copy with another first interval; the last one is at least as large. */
    public RetryStormSettings withFirstInterval(int firstInterval) {
        Backoff changed =
                new Backoff(backoff.slotMicros(), firstInterval, Math.max(firstInterval, backoff.lastInterval()));
        return new RetryStormSettings(fleet, admission, changed, clients);
    }

    /** Number of relays in the remaining zones. */
    public int remainingRelays() {
        return fleet.relays() - fleet.relays() / fleet.zones();
    }

    /** Number of clients of the lost zone. */
    public long lostClients() {
        return (long) (fleet.relays() / fleet.zones()) * fleet.clientsPerRelay();
    }

    /** Lower bound of the time until all clients are accepted, in seconds. */
    public double minSeconds() {
        return lostClients() / (remainingRelays() * admission.setupsPerSecond());
    }
}
