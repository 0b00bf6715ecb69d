package sandstack.capacity;

/**
 * What the estimates of one relay have in common: the capacities that the operator stated, the mean load of the relay's
 * connections, and what servers of one machine kind usually hold.
 *
 * <p>Loads are microseconds of work a second on a standard core. Owned by one load balancer; used by one thread; every
 * call is O(1).
 */
public final class CapacityModel {
    /**
     * The mean starts as that of so many connections of the stated load: a few reports are not enough to replace it.
     */
    private static final int ASSUMED_CONNECTIONS = 8;
    /** The mean covers at most so many connections, with more weight on the latest. */
    private static final int MEAN_WINDOW_CONNECTIONS = 256;
    /** Weight of one more observation in the moving average of a machine kind. */
    private static final double KIND_LEARNING_RATE = 0.1;
    /** Kinds from here on share the last entry, whatever numbers a list holds. */
    private static final int MAX_KINDS = 64;
    /** Smallest sum of ratings, so that a division by it stays finite. */
    private static final double MIN_READY_RATING = 1e-9;
    /** Mean load while nothing is known; also the least where no load is stated. */
    private static final double UNIT_LOAD = 1;

    private final StatedCapacities statedCapacities;
    private final boolean ratingsAreSizes;
    private final StatedCapacity statedForOthers;
    private final long slotMicros;
    private final int relayCount;
    /** By machine kind; 0 where nothing was observed. */
    private final double[] usualConnectionsPerRating = new double[MAX_KINDS];
    /** Latest known loads, also of connections that have ended. */
    private double sumOfKnownLoads;

    private int knownLoadCount;
    private int connectionCount;
    private double readyRating = 1;
    private double maxConnectionsPerRating;
    private boolean loadsReported;

    /** Creates a model for lists whose ratings say nothing of sizes. */
    public CapacityModel(StatedCapacities statedCapacities, long slotMicros, int relayCount) {
        this(statedCapacities, slotMicros, relayCount, false);
    }

    /**
     * Creates a model without evidence.
     *
     * @param slotMicros unit of the intervals between trials of a limit
     * @param relayCount relays that connect to the same servers
     * @param ratingsAreSizes whether ratings are sizes, which gives servers without a stated capacity
     *     {@link StatedCapacity#SIZE_BASED}
     */
    public CapacityModel(StatedCapacities statedCapacities, long slotMicros, int relayCount, boolean ratingsAreSizes) {
        this.ratingsAreSizes = ratingsAreSizes;
        this.statedForOthers = orSizeBased(statedCapacities.others());
        this.statedCapacities = statedCapacities;
        this.slotMicros = Math.max(1, slotMicros);
        this.relayCount = Math.max(1, relayCount);
    }

    /** An estimate for a server of which nothing is known. */
    public CapacityEstimate newEstimate() {
        return new CapacityEstimate(this);
    }

    long slotMicros() {
        return slotMicros;
    }

    int relayCount() {
        return relayCount;
    }

    StatedCapacity stated(int machineKind) {
        return orSizeBased(statedCapacities.forKind(machineKind));
    }

    private StatedCapacity orSizeBased(StatedCapacity stated) {
        return ratingsAreSizes && stated.equals(StatedCapacity.NOTHING) ? StatedCapacity.SIZE_BASED : stated;
    }

    /** The load that one more group adds to a server. */
    public double groupOverheadLoad() {
        return statedForOthers.groupOverheadConnections() * meanLoad();
    }

    // ---- connections per rating -------------------------------------------------------------------

    /** The sum of the ratings of all servers that are ready. */
    public void onReadyRating(double ratings) {
        readyRating = Math.max(ratings, MIN_READY_RATING);
    }

    /** Connections of this relay for each unit of rating, over all servers that are ready. */
    public double connectionsPerRating() {
        return connectionCount / readyRating;
    }

    /**
     * A lower bound for the connections of all relays that a unit of rating can hold: as many as all servers hold now,
     * or as the one that held most did. Both are scaled up from the connections of this relay.
     */
    double observedConnectionsPerRating() {
        return relayCount * Math.max((connectionCount + 1) / readyRating, maxConnectionsPerRating);
    }

    /** A server holds so many connections; one standard deviation less counts, since one relay sees a sample only. */
    void observeConnections(int connections, double rating) {
        maxConnectionsPerRating = Math.max(maxConnectionsPerRating, (connections - Math.sqrt(connections)) / rating);
    }

    /** The limit of a server's connections may have changed; a finite one counts for its machine kind. */
    void onConnectionLimit(int machineKind, double rating, AdaptiveLimit connectionLimit) {
        if (!connectionLimit.isLimited()) {
            return;
        }
        int kindIndex = kindIndex(machineKind);
        double observed = connectionLimit.limit() / rating;
        double average = usualConnectionsPerRating[kindIndex];
        usualConnectionsPerRating[kindIndex] =
                average <= 0 ? observed : average + (observed - average) * KIND_LEARNING_RATE;
    }

    /** The usual limit for each unit of rating of a machine kind, for this relay; infinite where nothing is known. */
    double usualConnectionsPerRating(int machineKind) {
        double observed = usualConnectionsPerRating[kindIndex(machineKind)];
        return observed > 0 ? observed : Double.POSITIVE_INFINITY;
    }

    private static int kindIndex(int machineKind) {
        return Math.min(Math.max(0, machineKind), MAX_KINDS - 1);
    }

    // ---- loads ------------------------------------------------------------------------------------

    /**
     * Whether the mean load rests on more than a default: a connection came with its load or reported it, or the
     * operator stated one. A default alone closes no server.
     */
    public boolean loadsKnown() {
        return knownLoadCount > 0 || statedCapacities.others().defaultConnectionLoad() > 0;
    }

    /** Whether a connection of this relay has ever reported its load. */
    public boolean loadsReported() {
        return loadsReported;
    }

    /** The mean load of a connection; 1 while none is known or stated. */
    public double meanLoad() {
        double assumedLoad = statedForOthers.defaultConnectionLoad();
        if (assumedLoad > 0) {
            return (sumOfKnownLoads + ASSUMED_CONNECTIONS * assumedLoad) / (knownLoadCount + ASSUMED_CONNECTIONS);
        }
        return knownLoadCount > 0 ? Math.max(UNIT_LOAD, sumOfKnownLoads / knownLoadCount) : UNIT_LOAD;
    }

    /** A connection was established with this load; 0 where it is not known. */
    public void onEstablished(double load) {
        connectionCount++;
        addKnownLoad(load);
    }

    /** An established connection has ended. */
    public void onClosed() {
        connectionCount = Math.max(0, connectionCount - 1);
    }

    /** An established connection reported its load; the one before is 0 where it was not known. */
    public void onLoadReported(double before, double after) {
        loadsReported = true;
        if (before > 0 && after > 0) {
            sumOfKnownLoads = Math.max(0, sumOfKnownLoads + after - before);
        } else {
            addKnownLoad(after);
        }
    }

    /** Adds a load to the mean; halves sum and count at the end of a window, so that older loads weigh less. */
    private void addKnownLoad(double load) {
        if (load > 0) {
            knownLoadCount++;
            sumOfKnownLoads += load;
        }
        if (knownLoadCount > MEAN_WINDOW_CONNECTIONS) {
            knownLoadCount /= 2;
            sumOfKnownLoads /= 2;
        }
    }
}
