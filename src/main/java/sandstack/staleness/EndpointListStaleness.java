package sandstack.staleness;

/**
 * Timing rules of the endpoint list: how long a watch may be silent, the backoff before the next poll, how long a new
 * process waits for its first list, and the time from which a relay counts as notified of a change, for each path by
 * which changes arrive.
 *
 * <p>A relay that counts as notified must comply with the change whether or not it has received it, so the timeouts and
 * the backoff are such that the list arrives before that time. The backoff is drawn uniformly from an interval from 0
 * that doubles with each failure ("full jitter").
 *
 * <p>An immutable value without a clock; all times are in microseconds; every call is O(1).
 *
 * @param pushed whether an agent on this machine receives each change without a request; otherwise lists are polled or
 *     watched
 * @param pollIntervalMicros longest time that a relay may go without a poll or a watch; 0 if none is stated or if lists
 *     are pushed
 */
public record EndpointListStaleness(boolean pushed, long pollIntervalMicros) {
    /**
     * A watch that is silent for this long has failed. A working watch sends something every 2 s, and discovery ends a
     * long poll after at most 2 s; the rest allows for delays of the network and of the relay. The timeout leaves time
     * for two more polls before {@link #MISSED_CHANGE_GRACE_MICROS} has passed.
     */
    public static final long WATCH_SILENCE_TIMEOUT_MICROS = 2_500_000;
    /** A change missed on a silent watch counts as notified this long after the watch became silent. */
    public static final long MISSED_CHANGE_GRACE_MICROS = 6_000_000;
    /**
     * A change missed on a silent long poll counts as notified this long after the longest time that the poll may wait,
     * or after {@link #MISSED_CHANGE_GRACE_MICROS}, whichever is later, but at most {@link #MISSED_CHANGE_GRACE_MICROS}
     * after the change. The first two times are counted from when the poll became silent.
     */
    public static final long MISSED_AFTER_LONG_POLL_MICROS = 2_000_000;
    /** Time after which discovery ends a long poll. */
    private static final long MAX_LONG_POLL_MICROS = 2_000_000;
    /**
     * Longest backoff. After any number of failures, a change counts as notified at the latest
     * {@link #MISSED_CHANGE_GRACE_MICROS} after it was made and discovery was reachable. The timeout of a silent poll,
     * the backoff after it and the next long poll fit into that time.
     */
    public static final long MAX_BACKOFF_MICROS =
            MISSED_CHANGE_GRACE_MICROS - WATCH_SILENCE_TIMEOUT_MICROS - MAX_LONG_POLL_MICROS;
    /**
     * If a new configuration names another agent, the list of that agent counts as notified this long after the
     * configuration arrived.
     */
    public static final long NEW_CONFIGURATION_GRACE_MICROS = 4_000_000;
    /**
     * After a failed poll, a change counts as notified this many times {@link #pollIntervalMicros} after the change or
     * the poll, whichever is later, but at most {@link #MISSED_CHANGE_GRACE_MICROS} after the change.
     */
    private static final int FAILED_POLL_INTERVALS = 4;

    /** The base of the backoff, which doubles with each failure, is {@link #pollIntervalMicros} divided by this. */
    private static final int BASE_BACKOFF_DIVISOR = 64;
    /**
     * The longest backoff interval is {@link #pollIntervalMicros} divided by this, so that the next poll starts within
     * the poll interval.
     */
    private static final int LONGEST_BACKOFF_DIVISOR = 2;

    private static final int MAX_BACKOFF_DOUBLINGS = 5;
    /**
     * Lower bound of the base, for any settings, which bounds the load on discovery; also the shortest backoff before a
     * request to the agent.
     */
    private static final long MIN_BACKOFF_MICROS = 5_000;
    /** Base of the backoff for the agent. */
    private static final long BASE_AGENT_BACKOFF_MICROS = 2 * MIN_BACKOFF_MICROS;
    /** Longest backoff interval for the agent: polling it is cheap, and its changes count as notified at once. */
    private static final long MAX_AGENT_BACKOFF_MICROS = 80_000;
    /**
     * Longest time that a new process waits for the agent's list, which counts as notified from the start of the
     * process.
     */
    private static final long FIRST_LIST_TIMEOUT_MICROS = 1_000_000;

    /** The path by which a relay is notified of a change. */
    public enum NotificationPath {
        /** Discovery sent the change to this relay, on a watch or in the response to a poll. */
        DELIVERED,
        /** The agent on this machine has the change, whether or not the relay watches. */
        CACHED_BY_AGENT,
        /** The watch had become silent before the change. */
        SILENT_WATCH,
        /** A long poll is open and has become silent. */
        SILENT_POLL,
        /** There is no watch, and the last poll succeeded. */
        NO_WATCH,
        /** There is no watch, and the last poll failed. */
        NO_WATCH_POLL_FAILED,
        /** A new configuration names another agent. */
        NEW_CONFIGURATION
    }

    /**
     * The time from which a relay counts as notified of a change.
     *
     * @param changedAtMicros when discovery received the change or, if it was down, when it was available again
     * @param sinceMicros when the silence began, the last poll was made or the new configuration arrived, depending on
     *     the path; not used for a change that was delivered or cached
     * @param longPollMicros how long the open poll may wait; 0 if it is not a long poll
     */
    public long notifiedAtMicros(NotificationPath path, long changedAtMicros, long sinceMicros, long longPollMicros) {
        return switch (path) {
            case DELIVERED, CACHED_BY_AGENT -> changedAtMicros;
            case SILENT_WATCH -> notifiedOnSilentWatch(changedAtMicros, sinceMicros);
            case SILENT_POLL -> notifiedOnSilentPoll(changedAtMicros, sinceMicros, longPollMicros);
            case NO_WATCH -> notifiedByNextPoll(changedAtMicros, sinceMicros);
            case NO_WATCH_POLL_FAILED -> notifiedAfterFailedPoll(changedAtMicros, sinceMicros);
            case NEW_CONFIGURATION -> notifiedByNewConfiguration(changedAtMicros, sinceMicros);
        };
    }

    private static long notifiedOnSilentWatch(long changedAtMicros, long silentSinceMicros) {
        return Math.max(changedAtMicros, silentSinceMicros + MISSED_CHANGE_GRACE_MICROS);
    }

    /**
     * Uses the grace of a silent watch or, if it ends later, that of a long poll, but ends at most
     * {@link #MISSED_CHANGE_GRACE_MICROS} after the change, as after a failed poll.
     */
    private static long notifiedOnSilentPoll(long changedAtMicros, long silentSinceMicros, long longPollMicros) {
        long graceEndMicros = silentSinceMicros + MISSED_CHANGE_GRACE_MICROS;
        long longPollGraceEndMicros = silentSinceMicros + longPollMicros + MISSED_AFTER_LONG_POLL_MICROS;
        long missedAtMicros = Math.max(graceEndMicros, longPollGraceEndMicros);
        return Math.min(changedAtMicros + MISSED_CHANGE_GRACE_MICROS, Math.max(changedAtMicros, missedAtMicros));
    }

    /** One poll interval after the change or after the last poll, whichever is later. */
    private long notifiedByNextPoll(long changedAtMicros, long polledAtMicros) {
        return Math.max(changedAtMicros, polledAtMicros) + pollIntervalMicros;
    }

    /**
     * {@link #FAILED_POLL_INTERVALS} poll intervals after the change or after the last poll, whichever is later, but at
     * most {@link #MISSED_CHANGE_GRACE_MICROS} after the change.
     */
    private long notifiedAfterFailedPoll(long changedAtMicros, long polledAtMicros) {
        return Math.min(
                changedAtMicros + MISSED_CHANGE_GRACE_MICROS,
                Math.max(changedAtMicros, polledAtMicros) + FAILED_POLL_INTERVALS * pollIntervalMicros);
    }

    private static long notifiedByNewConfiguration(long changedAtMicros, long configuredAtMicros) {
        return Math.max(changedAtMicros, configuredAtMicros + NEW_CONFIGURATION_GRACE_MICROS);
    }

    /**
     * The backoff before the next poll or watch.
     *
     * @param failures number of consecutive failed polls and watches, including the latest; 0 for no backoff
     * @param uniformDraw random draw from [0, 1)
     */
    public long backoffMicros(int failures, double uniformDraw) {
        if (failures <= 0) {
            return 0;
        }
        long baseMicros = baseBackoffMicros();
        long doubledMicros = baseMicros << Math.min(failures, MAX_BACKOFF_DOUBLINGS);
        long spanMicros = Math.min(longestBackoffMicros(baseMicros), doubledMicros);
        long drawnMicros = (long) (uniformDraw * spanMicros) + 1;
        return Math.max(pushed ? MIN_BACKOFF_MICROS : 1, drawnMicros);
    }

    private long baseBackoffMicros() {
        return pushed
                ? BASE_AGENT_BACKOFF_MICROS
                : Math.max(MIN_BACKOFF_MICROS, pollIntervalMicros / BASE_BACKOFF_DIVISOR);
    }

    private long longestBackoffMicros(long baseMicros) {
        return pushed
                ? MAX_AGENT_BACKOFF_MICROS
                : Math.min(MAX_BACKOFF_MICROS, Math.max(baseMicros, pollIntervalMicros / LONGEST_BACKOFF_DIVISOR));
    }

    /**
     * How long a new process waits for its first list before it accepts clients with the list that it was started with;
     * 0 not to wait.
     */
    public long firstListTimeoutMicros() {
        return pushed ? FIRST_LIST_TIMEOUT_MICROS : 0;
    }
}
