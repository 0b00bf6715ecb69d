package sandstack.capacity;

/**
 * What is common to the estimates of one relay: what the operator stated, the mean load of its connections, and what
 * servers of one kind teach about each other. Owned by one decision module; one thread; calls are O(1).
 */
public final class CapacityModel {
    /** A mean begins with so many connections of the stated load: a few that tell theirs are not enough. */
    private static final int ASSUMED_CONNECTIONS = 8;
    /** The mean is that of so many connections at the most, the latest ones weighing more. */
    private static final int MEAN_WINDOW_CONNECTIONS = 256;
    /** What one more estimate of a kind weighs against those before it. */
    private static final double KIND_LEARNING_RATE = 0.1;
    /** Kinds past this share one place, whatever a list says. */
    private static final int MAX_KINDS = 64;

    private final StatedCapacities statedCapacities;
    private final long slotMicros;
    private final int relayCount;
    private final double[] usualConnectionsPerRating = new double[MAX_KINDS];
    private final boolean ratingsAreSizes;
    private final StatedCapacity statedForOthers;
    /** The last loads that connections came with or told, also of those that have left: the others are guesses. */
    private double sumOfKnownLoads;

    private int knownLoadCount;
    private int connectionCount;
    private double readyRating = 1;
    private double maxConnectionsPerRating;
    private boolean loadsReported;

    /** Where ratings say nothing of sizes. */
    public CapacityModel(StatedCapacities statedCapacities, long slotMicros, int relayCount) {
        this(statedCapacities, slotMicros, relayCount, false);
    }

    /**
     * Creates an estimate of what is stated, without evidence.
     *
     * @param slotMicros the length of a slot, in microseconds
     * @param relayCount how many relays place connections at the same servers
     * @param ratingsAreSizes ratings are sizes: of servers of which nobody states anything the platform's pages do
     */
    public CapacityModel(StatedCapacities statedCapacities, long slotMicros, int relayCount, boolean ratingsAreSizes) {
        this.ratingsAreSizes = ratingsAreSizes;
        this.statedForOthers = orSizeBased(statedCapacities.others());
        this.statedCapacities = statedCapacities;
        this.slotMicros = Math.max(1, slotMicros);
        this.relayCount = Math.max(1, relayCount);
    }

    /** What one more group costs a server, in load. */
    public double groupOverheadLoad() {
        return statedForOthers.groupOverheadConnections() * meanLoad();
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

    /** The ratings of all servers that are ready, together. */
    public void onReadyRating(double ratings) {
        readyRating = Math.max(ratings, 1e-9);
    }

    /** Connections of this relay for each unit of rating, over all servers that are ready. */
    public double connectionsPerRating() {
        return connectionCount / readyRating;
    }

    /**
     * What a unit of rating holds over all relays, by this one's part of it: what it can hold is no less. As all servers
     * hold now, or as the one that held most did, less a deviation of what one relay's part of it tells.
     */
    double holds() {
        return relayCount * Math.max((connectionCount + 1) / readyRating, maxConnectionsPerRating);
    }

    /** So many stand at a server of this rating. */
    void holds(int standing, double rating) {
        maxConnectionsPerRating = Math.max(maxConnectionsPerRating, (standing - Math.sqrt(standing)) / rating);
    }

    /** Whether a connection came with its load or told it, or an operator stated one: a guess alone closes no server. */
    public boolean loadsKnown() {
        return knownLoadCount > 0 || statedCapacities.others().defaultConnectionLoad() > 0;
    }

    /** The mean load of what stands here, in microseconds of work a second; 1 a connection while none is known. */
    public double meanLoad() {
        double guess = statedForOthers.defaultConnectionLoad();
        return guess > 0
                ? (sumOfKnownLoads + ASSUMED_CONNECTIONS * guess) / (knownLoadCount + ASSUMED_CONNECTIONS)
                : knownLoadCount > 0 ? Math.max(1, sumOfKnownLoads / knownLoadCount) : 1;
    }

    /** Whether a connection of this relay has ever told its load. */
    public boolean loadsReported() {
        return loadsReported;
    }

    /** A connection stands from now on, with this load; 0 where it is a guess. */
    public void onEstablished(double load) {
        connectionCount++;
        addKnownLoad(load);
    }

    /** A standing connection has ended. */
    public void onClosed() {
        connectionCount = Math.max(0, connectionCount - 1);
    }

    /** A standing connection told its load; the one before is 0 where it was a guess. */
    public void onLoadReported(double before, double after) {
        loadsReported = true;
        if (before > 0 && after > 0) {
            sumOfKnownLoads = Math.max(0, sumOfKnownLoads + after - before);
        } else {
            addKnownLoad(after);
        }
    }

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

    void onConnectionLimit(int machineKind, double rating, AdaptiveLimit connections) {
        if (!connections.isLimited()) {
            return;
        }
        int at = kindIndex(machineKind);
        double observed = connections.limit() / rating;
        usualConnectionsPerRating[at] = usualConnectionsPerRating[at] <= 0
                ? observed
                : usualConnectionsPerRating[at] + (observed - usualConnectionsPerRating[at]) * KIND_LEARNING_RATE;
    }

    /** What a unit of rating of this kind usually holds from here; infinite where nothing is known. */
    double usualConnectionsPerRating(int machineKind) {
        double observed = usualConnectionsPerRating[kindIndex(machineKind)];
        return observed > 0 ? observed : Double.POSITIVE_INFINITY;
    }

    private static int kindIndex(int machineKind) {
        return Math.min(Math.max(0, machineKind), MAX_KINDS - 1);
    }
}
