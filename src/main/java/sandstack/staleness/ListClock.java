package sandstack.staleness;

/**
 * The one clock for the list of feed servers: how long a watch may say nothing, when to ask again, how long a new process
 * waits for its first list, and from when on a change counts as told, in each of the ways by which lists come. Times are
 * microseconds. A value; O(1). The cases are those of the platform's pages; the pauses are drawn over the whole of an
 * interval that doubles ("Exponential back-off, revisited").
 *
 * @param pushed an agent has each change whether or not it is asked; otherwise a change is told when it is written here
 * @param within where lists are asked for: how long a relay may go without asking or a watch; 0 where not stated
 */
public record ListClock(boolean pushed, long within) {
    /**
     * A sound watch says something every 2 s, and a call that waits longer than that is ended by discovery. A quarter more
     * is for the way and for a relay that was held up; it leaves time for two more calls before {@link #MISSED} is over.
     */
    public static final long SILENCE = 2_500_000;
    /** What a watch that fell silent has missed counts as told so long after it did, whether it arrived or not. */
    public static final long MISSED = 6_000_000;
    /** The same, from the end of the time that a call may wait, where that is later. */
    public static final long MISSED_AFTER_WAIT = 2_000_000;
    /** A call waits no longer than this for its turn: discovery ends it then. */
    private static final long CALL_WAITS = 2_000_000;
    /**
     * Whatever has failed before, a change counts as told {@link #MISSED} after discovery had it and could be reached: a
     * call that fell silent, the pause after it and the wait of the next call have room in that.
     */
    public static final long LONGEST_PAUSE = MISSED - SILENCE - CALL_WAITS;
    /** A new configuration where lists are pushed: the other agent's list counts so long after. */
    public static final long MOVED = 4_000_000;
    /** A call that failed stands for so many times {@link #within}, but for no more than {@link #MISSED}. */
    private static final int FAILED_COUNTS = 4;

    /** So many of the first interval fit into {@link #within}; the last is half of it. */
    private static final int FIRST_PART = 64;

    private static final int MOST_DOUBLINGS = 5;
    /** The agent is this machine's own and costs nobody anything, but what it has counts at once: no pause is longer. */
    private static final long AGENT_PAUSE = 80_000;
    /** Nobody asks without a pause, whatever the settings say. */
    private static final long LEAST_PAUSE = 5_000;
    /** What the agent has binds a new process from its first moment: it takes no client before, for so long at most. */
    private static final long FIRST_LIST = 1_000_000;

    /** How a change comes to be told. */
    public enum Way {
        /** Discovery wrote it to this relay, on a watch or as an answer. */
        WRITTEN,
        /** The agent has it; whether anybody watches makes no difference. */
        AT_THE_AGENT,
        /** The watch had fallen silent before. */
        SILENT_WATCH,
        /** The call that was to tell it waits, and has fallen silent. */
        SILENT_CALL,
        /** No watch, and the last call was answered. */
        NO_WATCH,
        /** No watch, and the last call failed. */
        NO_WATCH_CALL_FAILED,
        /** A new configuration names another agent. */
        NEW_CONFIGURATION
    }

    /**
     * When a change counts as told.
     *
     * @param made when discovery had it (where it was down: when it is back)
     * @param since of silence when it began, of no watch when the last call was made, of a new configuration when it
     *     came; not looked at otherwise
     * @param wait how long the call may wait, 0 where it is none of that kind
     */
    public long countsAt(Way way, long made, long since, long wait) {
        return switch (way) {
            case WRITTEN, AT_THE_AGENT -> made;
            case SILENT_WATCH -> Math.max(made, since + MISSED);
                // whatever is allowed after a call that failed or was given up, this comes before it
            case SILENT_CALL -> Math.min(
                    made + MISSED, Math.max(made, Math.max(since + MISSED, since + wait + MISSED_AFTER_WAIT)));
                // held to the list it has at first; from then on each change counts so long after it was made
            case NO_WATCH -> Math.max(made, since) + within;
            case NO_WATCH_CALL_FAILED -> Math.min(made + MISSED, Math.max(made, since) + FAILED_COUNTS * within);
            case NEW_CONFIGURATION -> Math.max(made, since + MOVED);
        };
    }

    /**
     * How long to wait before the next call.
     *
     * @param failures calls and watches that failed one after another, this one included; none: at once
     * @param draw from [0, 1)
     */
    public long pause(int failures, double draw) {
        if (failures <= 0) {
            return 0;
        }
        long first = pushed ? 2 * LEAST_PAUSE : Math.max(LEAST_PAUSE, within / FIRST_PART);
        long longest = pushed ? AGENT_PAUSE : Math.min(LONGEST_PAUSE, Math.max(first, within / 2));
        long span = Math.min(longest, first << Math.min(failures, MOST_DOUBLINGS));
        return Math.max(pushed ? LEAST_PAUSE : 1, (long) (draw * span) + 1);
    }

    /** How long a new process waits for a list before it takes clients by the one that it was given. */
    public long firstList() {
        return pushed ? FIRST_LIST : 0;
    }
}
