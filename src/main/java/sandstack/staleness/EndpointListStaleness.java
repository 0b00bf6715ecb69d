package sandstack.staleness;

/**
 * The one clock for the list of feed servers: how long a watch may say nothing, when to ask again, how long a new process
 * waits for its first list, and from when on a change counts as told, in each of the ways by which lists come. Times are
 * microseconds. A value; O(1). The cases are those of the platform's pages; the pauses are drawn over the whole of an
 * interval that doubles ("Exponential back-off, revisited").
 *
 * @param pushed an agent has each change whether or not it is asked; otherwise a change is told when it is written here
 * @param pollIntervalMicros where lists are asked for: how long a relay may go without asking or a watch; 0 where not stated
 */
public record EndpointListStaleness(boolean pushed, long pollIntervalMicros) {
    /**
     * A sound watch says something every 2 s, and a call that waits longer than that is ended by discovery. A quarter more
     * is for the way and for a relay that was held up; it leaves time for two more calls before {@link #MISSED_CHANGE_GRACE_MICROS} is over.
     */
    public static final long WATCH_SILENCE_TIMEOUT_MICROS = 2_500_000;
    /** What a watch that fell silent has missed counts as told so long after it did, whether it arrived or not. */
    public static final long MISSED_CHANGE_GRACE_MICROS = 6_000_000;
    /** The same, from the end of the time that a call may wait, where that is later. */
    public static final long MISSED_AFTER_LONG_POLL_MICROS = 2_000_000;
    /** A call waits no longer than this for its turn: discovery ends it then. */
    private static final long MAX_CALL_WAIT_MICROS = 2_000_000;
    /**
     * Whatever has failed before, a change counts as told {@link #MISSED_CHANGE_GRACE_MICROS} after discovery had it and could be reached: a
     * call that fell silent, the pause after it and the wait of the next call have room in that.
     */
    public static final long MAX_BACKOFF_MICROS =
            MISSED_CHANGE_GRACE_MICROS - WATCH_SILENCE_TIMEOUT_MICROS - MAX_CALL_WAIT_MICROS;
    /** A new configuration where lists are pushed: the other agent's list counts so long after. */
    public static final long NEW_CONFIGURATION_GRACE_MICROS = 4_000_000;
    /** A call that failed stands for so many times {@link #pollIntervalMicros}, but for no more than {@link #MISSED_CHANGE_GRACE_MICROS}. */
    private static final int FAILED_CALL_INTERVALS = 4;

    /** So many of the first interval fit into {@link #pollIntervalMicros}; the last is half of it. */
    private static final int FIRST_BACKOFF_DIVISOR = 64;

    private static final int MAX_BACKOFF_DOUBLINGS = 5;
    /** The agent is this machine's own and costs nobody anything, but what it has counts at once: no pause is longer. */
    private static final long MAX_AGENT_BACKOFF_MICROS = 80_000;
    /** Nobody asks without a pause, whatever the settings say. */
    private static final long MIN_BACKOFF_MICROS = 5_000;
    /** What the agent has binds a new process from its first moment: it takes no client before, for so long at most. */
    private static final long FIRST_LIST_TIMEOUT_MICROS = 1_000_000;

    /** How a change comes to be told. */
    public enum NotificationPath {
        /** Discovery wrote it to this relay, on a watch or as an answer. */
        DELIVERED,
        /** The agent has it; whether anybody watches makes no difference. */
        CACHED_BY_AGENT,
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
     * @param changedAtMicros when discovery had it (where it was down: when it is back)
     * @param sinceMicros of silence when it began, of no watch when the last call was made, of a new configuration when it
     *     came; not looked at otherwise
     * @param longPollMicros how long the call may wait, 0 where it is none of that kind
     */
    public long notifiedAtMicros(NotificationPath path, long changedAtMicros, long sinceMicros, long longPollMicros) {
        return switch (path) {
            case DELIVERED, CACHED_BY_AGENT -> changedAtMicros;
            case SILENT_WATCH -> Math.max(changedAtMicros, sinceMicros + MISSED_CHANGE_GRACE_MICROS);
                // whatever is allowed after a call that failed or was given up, this comes before it
            case SILENT_CALL -> Math.min(
                    changedAtMicros + MISSED_CHANGE_GRACE_MICROS,
                    Math.max(
                            changedAtMicros,
                            Math.max(
                                    sinceMicros + MISSED_CHANGE_GRACE_MICROS,
                                    sinceMicros + longPollMicros + MISSED_AFTER_LONG_POLL_MICROS)));
                // held to the list it has at first; from then on each change counts so long after it was made
            case NO_WATCH -> Math.max(changedAtMicros, sinceMicros) + pollIntervalMicros;
            case NO_WATCH_CALL_FAILED -> Math.min(
                    changedAtMicros + MISSED_CHANGE_GRACE_MICROS,
                    Math.max(changedAtMicros, sinceMicros) + FAILED_CALL_INTERVALS * pollIntervalMicros);
            case NEW_CONFIGURATION -> Math.max(changedAtMicros, sinceMicros + NEW_CONFIGURATION_GRACE_MICROS);
        };
    }

    /**
     * How long to wait before the next call.
     *
     * @param failures calls and watches that failed one after another, this one included; none: at once
     * @param uniformDraw from [0, 1)
     */
    public long backoffMicros(int failures, double uniformDraw) {
        if (failures <= 0) {
            return 0;
        }
        long firstMicros = pushed
                ? 2 * MIN_BACKOFF_MICROS
                : Math.max(MIN_BACKOFF_MICROS, pollIntervalMicros / FIRST_BACKOFF_DIVISOR);
        long longestMicros = pushed
                ? MAX_AGENT_BACKOFF_MICROS
                : Math.min(MAX_BACKOFF_MICROS, Math.max(firstMicros, pollIntervalMicros / 2));
        long spanMicros = Math.min(longestMicros, firstMicros << Math.min(failures, MAX_BACKOFF_DOUBLINGS));
        return Math.max(pushed ? MIN_BACKOFF_MICROS : 1, (long) (uniformDraw * spanMicros) + 1);
    }

    /** How long a new process waits for a list before it takes clients by the one that it was given. */
    public long firstListTimeoutMicros() {
        return pushed ? FIRST_LIST_TIMEOUT_MICROS : 0;
    }
}
