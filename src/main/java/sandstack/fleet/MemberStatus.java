package sandstack.fleet;

/** How a member stands, as far as one member can know. */
public enum MemberStatus {
    /** Nobody who has asked it lacks its answer. */
    ALIVE,
    /** Some reach it and others do not: a cut link, no failed member. */
    PARTLY,
    /** Nobody who says anything reaches it; the library still waits for it. */
    SUSPECT,
    /** The library gave it up, and nobody says that they reach it. It may live on behind a cut. */
    LOST,
    /** It said that it goes. */
    LEFT;

    /** Whether it counts as a member. */
    public boolean present() {
        return this == ALIVE || this == PARTLY || this == SUSPECT;
    }
}
