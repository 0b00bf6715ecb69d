package sandstack.configuration;

/**
 * When a relay may request what it lacks. Two requests of one kind are at least the repair interval apart; after a
 * rejected state, snapshots wait for a backoff that doubles with each further rejection. Not thread-safe.
 */
final class FetchSchedule {
    /** Bounds the backoff after rejections; the shift below must not overflow. */
    private static final int MAX_REJECTION_DOUBLINGS = 7;

    private final long repairIntervalMicros;
    private final long rejectionBackoffMicros;
    private long nextRepairMicros;
    private long nextSnapshotMicros;
    private int consecutiveRejections;

    /** Allows both requests from now on. */
    FetchSchedule(FollowerSettings settings, long nowMicros) {
        this.repairIntervalMicros = settings.repairIntervalMicros();
        this.rejectionBackoffMicros = settings.rejectionBackoffMicros();
        this.nextRepairMicros = nowMicros;
        this.nextSnapshotMicros = nowMicros;
    }

    /** Whether a repair may be requested now; then the next one waits for the interval. */
    boolean tryRepair(long nowMicros) {
        if (nowMicros < nextRepairMicros) {
            return false;
        }
        nextRepairMicros = nowMicros + repairIntervalMicros;
        return true;
    }

    /** Whether a snapshot may be requested now; then the next one waits for the interval. */
    boolean trySnapshot(long nowMicros) {
        if (nowMicros < nextSnapshotMicros) {
            return false;
        }
        nextSnapshotMicros = nowMicros + repairIntervalMicros;
        return true;
    }

    /** A state was rejected: the next snapshot request waits for the backoff. */
    void rejected(long nowMicros) {
        int doublings = Math.min(consecutiveRejections, MAX_REJECTION_DOUBLINGS);
        consecutiveRejections++;
        nextSnapshotMicros = nowMicros + (rejectionBackoffMicros << doublings);
    }

    /** A later state became active: the backoff is reset. */
    void activated() {
        consecutiveRejections = 0;
    }
}
