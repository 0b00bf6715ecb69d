package sandstack.decisions;

/** For keyed requests: the servers that drop each other's repeats. */
public enum DeduplicationScope {
    /** All servers. */
    ALL,
    /** The servers of one zone. */
    ZONE,
    /** The servers of one cell of one zone. */
    CELL;

    /** Whether a server of that zone and cell drops what one of this zone and cell has seen. */
    public boolean covers(int zone, int cell, int otherZone, int otherCell) {
        return this == ALL || zone == otherZone && (this == ZONE || cell == otherCell);
    }
}
