package sandstack.fleet;

/** The status of a member in the view of one member. */
public enum MemberStatus {
    /** No member reports it as unreachable, and the library lists it or this member reaches it. */
    ALIVE("ALIVE"),
    /**
     * Some members reach it and others do not, which indicates a failed link rather than a failed member. Also the
     * status of an incarnation that others reach but that this member has not reached and the library does not list.
     */
    PARTIALLY_REACHABLE("PARTLY"),
    /** Members report it as unreachable and none as reachable, but the library has not removed it yet. */
    SUSPECT("SUSPECT"),
    /**
     * The library does not list it, and no member reports that it reaches it. It may still run on the other side of a
     * partition.
     */
    LOST("LOST"),
    /** It has announced that it leaves. */
    LEFT("LEFT");

    private final String label;

    MemberStatus(String label) {
        this.label = label;
    }

    /**
     * The status with this label.
     *
     * @throws IllegalArgumentException if there is none
     */
    public static MemberStatus ofLabel(String label) {
        for (MemberStatus status : values()) {
            if (status.label.equals(label)) {
                return status;
            }
        }
        throw new IllegalArgumentException("not the label of a member status: " + label);
    }

    /** The label in log lines and console output, which operators and other programs read. */
    public String label() {
        return label;
    }

    /** Whether a member with this status belongs to the current membership. */
    public boolean isMember() {
        return this == ALIVE || this == PARTIALLY_REACHABLE || this == SUSPECT;
    }

    @Override
    public String toString() {
        return label;
    }
}
