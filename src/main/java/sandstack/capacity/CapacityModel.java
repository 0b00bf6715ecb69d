package sandstack.capacity;

/**
 * State that all estimates of one relay share: the capacities that the operator stated, the mean load of the relay's
 * connections, and the usual connection limit of servers of each machine kind.
 *
 * <p>Loads are microseconds of work per second on a standard core. Owned by one load balancer; used by one thread;
 * every call is O(1).
 */
public final class CapacityModel {
    /**
     * The default load enters the mean load like the reports of this many connections, so that a few reports do not
     * replace it.
     */
    private static final int ASSUMED_CONNECTIONS = 8;
    /** The mean load covers at most this many known loads, with more weight on the latest. */
    private static final int MEAN_WINDOW_CONNECTIONS = 256;
    /** Weight of one observation in the moving average of a machine kind. */
    private static final double KIND_LEARNING_RATE = 0.1;
    /**
     * Number of entries by machine kind; higher kinds share the last entry, since an endpoint list may contain any
     * number.
     */
    private static final int MAX_KINDS = 64;
    /** Lower bound of the sum of ratings, so that a division by it stays finite. */
    private static final double MIN_READY_RATING = 1e-9;
    /** Mean load while none is known; also the lower bound of the mean while no default load is stated. */
    private static final double UNIT_LOAD = 1;

    private final StatedCapacities statedCapacities;
    private final boolean ratingsAreSizes;
    /**
     * Capacity of machine kinds without an entry of their own; {@link StatedCapacity#SIZE_BASED} if none is stated and
     * ratings are sizes.
     */
    private final StatedCapacity defaultCapacity;

    private final long slotMicros;
    private final int relayCount;
    /** Moving average of the connection limit per unit of rating, by machine kind; 0 while none was observed. */
    private final double[] usualConnectionsPerRating = new double[MAX_KINDS];
    /** Sum of the latest known loads, including those of connections that have ended. */
    private double sumOfKnownLoads;

    private int knownLoadCount;
    private int connectionCount;
    /** Sum of the ratings of the servers that are ready. */
    private double readyRating = 1;
    /** Most connections per unit of rating that this relay has had at one server, less one standard deviation. */
    private double maxConnectionsPerRating;

    private boolean loadsReported;

    /** Creates a model for endpoint lists whose ratings are not sizes. */
    public CapacityModel(StatedCapacities statedCapacities, long slotMicros, int relayCount) {
        this(statedCapacities, slotMicros, relayCount, false);
    }

    /**
     * Creates a model without evidence.
     *
     * @param slotMicros unit of the intervals between trials of a limit
     * @param relayCount number of relays that connect to the same servers
     * @param ratingsAreSizes whether ratings are sizes; servers without a stated capacity then get
     *     {@link StatedCapacity#SIZE_BASED}
     */
    public CapacityModel(StatedCapacities statedCapacities, long slotMicros, int relayCount, boolean ratingsAreSizes) {
        this.ratingsAreSizes = ratingsAreSizes;
        this.defaultCapacity = orSizeBased(statedCapacities.defaultCapacity());
        this.statedCapacities = statedCapacities;
        this.slotMicros = Math.max(1, slotMicros);
        this.relayCount = Math.max(1, relayCount);
    }

    /** Creates the estimate of a server for which there is no evidence yet. */
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
        return ratingsAreSizes && stated.equals(StatedCapacity.UNKNOWN) ? StatedCapacity.SIZE_BASED : stated;
    }

    /** The load that an additional group adds to a server. */
    public double groupOverheadLoad() {
        return defaultCapacity.groupOverheadConnections() * meanLoad();
    }

    /** Sets the sum of the ratings of all servers that are ready. */
    public void onReadyRating(double ratingSum) {
        readyRating = Math.max(ratingSum, MIN_READY_RATING);
    }

    /** Connections of this relay per unit of rating, over all servers that are ready. */
    public double connectionsPerRating() {
        return connectionCount / readyRating;
    }

    /**
     * A lower bound of the connections, from all relays together, that a unit of rating can hold: the current average
     * over all ready servers, or the most that one server has held, whichever is larger. Both are extrapolated from the
     * connections of this relay.
     */
    double observedConnectionsPerRating() {
        return relayCount * Math.max((connectionCount + 1) / readyRating, maxConnectionsPerRating);
    }

    /**
     * Records the number of connections that a server holds. One standard deviation is subtracted, since one relay sees
     * only a sample.
     */
    void observeConnections(int connections, double rating) {
        maxConnectionsPerRating = Math.max(maxConnectionsPerRating, (connections - Math.sqrt(connections)) / rating);
    }

    /**
     * Adds a server's connection limit to the average of its machine kind, unless it is infinite; called whenever the
     * limit may have changed.
     */
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

    /**
     * The usual connection limit of this relay per unit of rating, for a machine kind; infinite while none was
     * observed.
     */
    double usualConnectionsPerRating(int machineKind) {
        double observed = usualConnectionsPerRating[kindIndex(machineKind)];
        return observed > 0 ? observed : Double.POSITIVE_INFINITY;
    }

    private static int kindIndex(int machineKind) {
        return Math.min(Math.max(0, machineKind), MAX_KINDS - 1);
    }

    /**
     * Whether the mean load rests on more than a built-in default: a request stated an expected load, a connection
     * reported its load, or the operator stated a default load. A built-in default alone never closes a server.
     */
    public boolean loadsKnown() {
        return knownLoadCount > 0 || statedCapacities.defaultCapacity().defaultConnectionLoad() > 0;
    }

    /** Whether a connection of this relay has ever reported its load. */
    public boolean loadsReported() {
        return loadsReported;
    }

    /** The mean load of a connection; 1 while none is known or stated. */
    public double meanLoad() {
        double assumedLoad = defaultCapacity.defaultConnectionLoad();
        if (assumedLoad > 0) {
            return (sumOfKnownLoads + ASSUMED_CONNECTIONS * assumedLoad) / (knownLoadCount + ASSUMED_CONNECTIONS);
        }
        return knownLoadCount > 0 ? Math.max(UNIT_LOAD, sumOfKnownLoads / knownLoadCount) : UNIT_LOAD;
    }

    /** Records that a connection was established with this load; 0 if its load is not known. */
    public void onEstablished(double load) {
        connectionCount++;
        addKnownLoad(load);
    }

    /** Records that an established connection has ended. */
    public void onClosed() {
        connectionCount = Math.max(0, connectionCount - 1);
    }

    /**
     * Records that an established connection reported its load.
     *
     * @param previousLoad load before the report; 0 if none was known
     * @param newLoad load as reported; 0 if there is none
     */
    public void onLoadReported(double previousLoad, double newLoad) {
        loadsReported = true;
        if (previousLoad > 0 && newLoad > 0) {
            sumOfKnownLoads = Math.max(0, sumOfKnownLoads + newLoad - previousLoad);
        } else {
            addKnownLoad(newLoad);
        }
    }

    /** Adds a load to the mean; halves sum and count at the end of a window, so that older loads have less weight. */
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
