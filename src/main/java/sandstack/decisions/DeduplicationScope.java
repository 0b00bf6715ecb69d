package sandstack.decisions;

/** The set of servers that share idempotency keys and therefore drop each other's duplicates. */
public enum DeduplicationScope {
    /** All servers. */
    ALL,
    /** The servers of one zone. */
    ZONE,
    /** The servers of one cell of one zone. */
    CELL;

    /**
     * Whether a server of one zone and cell drops duplicates of requests that a server of the other zone and cell
     * executed.
     */
    public boolean covers(int zone, int cell, int otherZone, int otherCell) {
        return this == ALL || (zone == otherZone && (this == ZONE || cell == otherCell));
    }
}
