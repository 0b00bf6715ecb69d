package sandstack.configuration;

/**
 * Limits how often a relay requests missing changes and snapshots. Two requests of the same kind are at least the
 * repair interval apart. After a rejected state the next snapshot request waits for a backoff that doubles with each
 * further rejection. Not thread-safe; times are in microseconds of the relay's clock.
 */
final class FetchSchedule {
    /** The maximum number of doublings of the rejection backoff; also keeps the shift by it from overflowing. */
    private static final int MAX_REJECTION_DOUBLINGS = 7;

    private final long repairIntervalMicros;
    private final long rejectionBackoffMicros;
    private long nextRepairMicros;
    private long nextSnapshotMicros;
    private int consecutiveRejections;

    /** Creates a schedule in which both kinds of requests are allowed now. */
    FetchSchedule(FollowerSettings settings, long nowMicros) {
        this.repairIntervalMicros = settings.repairIntervalMicros();
        this.rejectionBackoffMicros = settings.rejectionBackoffMicros();
        this.nextRepairMicros = nowMicros;
        this.nextSnapshotMicros = nowMicros;
    }

    /** Whether missing changes may be requested now; if so, the next such request waits for the interval. */
    boolean tryRepair(long nowMicros) {
        if (nowMicros < nextRepairMicros) {
            return false;
        }
        nextRepairMicros = nowMicros + repairIntervalMicros;
        return true;
    }

    /** Whether a snapshot may be requested now; if so, the next such request waits for the interval. */
    boolean trySnapshot(long nowMicros) {
        if (nowMicros < nextSnapshotMicros) {
            return false;
        }
        nextSnapshotMicros = nowMicros + repairIntervalMicros;
        return true;
    }

    /** Records a rejected state: the next snapshot request waits for the backoff. */
    void rejected(long nowMicros) {
        int doublings = Math.min(consecutiveRejections, MAX_REJECTION_DOUBLINGS);
        consecutiveRejections++;
        nextSnapshotMicros = nowMicros + (rejectionBackoffMicros << doublings);
    }

    /** Records that a later state became active: the next rejection starts with the shortest backoff. */
    void activated() {
        consecutiveRejections = 0;
    }
}
