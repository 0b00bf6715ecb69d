package sandstack.staleness;

/**
 * Times of the endpoint list: how long a watch may be silent, the backoff before the next poll, how long a new process
 * waits for its first list, and from when on a relay counts as notified of a change, for each path by which changes
 * come.
 *
 * <p>A relay that counts as notified is held to the change whether or not it has received it, so the other times are
 * chosen to have the list before that. The backoff is drawn from the whole of an interval that doubles with each
 * failure ("full jitter").
 *
 * <p>An immutable value without a clock; all times are microseconds; every call is O(1).
 *
 * @param pushed whether an agent on this machine has each change without being asked; otherwise lists are polled or
 *     watched
 * @param pollIntervalMicros how long a relay may go without a poll or a watch; 0 where not stated or where lists are
 *     pushed
 */
public record EndpointListStaleness(boolean pushed, long pollIntervalMicros) {
    /**
     * A watch that is silent for this long has failed. A sound one sends something every 2 s, and discovery ends a long
     * poll after 2 s at most; the rest is for the network and a relay that was held up. It leaves time for two more
     * polls before {@link #MISSED_CHANGE_GRACE_MICROS} is over.
     */
    public static final long WATCH_SILENCE_TIMEOUT_MICROS = 2_500_000;
    /** A change missed on a silent watch counts as notified this long after the watch fell silent. */
    public static final long MISSED_CHANGE_GRACE_MICROS = 6_000_000;
    /** The same for a long poll, from the end of the time that it may wait, where that is later. */
    public static final long MISSED_AFTER_LONG_POLL_MICROS = 2_000_000;
    /** Discovery ends a long poll after this long. */
    private static final long MAX_LONG_POLL_MICROS = 2_000_000;
    /**
     * Whatever has failed before, a change counts as notified {@link #MISSED_CHANGE_GRACE_MICROS} after it was made and
     * discovery could be reached. A poll that falls silent, the backoff after it and the next long poll fit into that.
     */
    public static final long MAX_BACKOFF_MICROS =
            MISSED_CHANGE_GRACE_MICROS - WATCH_SILENCE_TIMEOUT_MICROS - MAX_LONG_POLL_MICROS;
    /** After a new configuration names another agent, the list of that agent counts as notified this much later. */
    public static final long NEW_CONFIGURATION_GRACE_MICROS = 4_000_000;
    /**
     * A failed poll counts for this many times {@link #pollIntervalMicros}, but for no more than
     * {@link #MISSED_CHANGE_GRACE_MICROS} after a change.
     */
    private static final int FAILED_POLL_INTERVALS = 4;

    /** The base of the backoff, which each failure doubles, is {@link #pollIntervalMicros} divided by this. */
    private static final int BASE_BACKOFF_DIVISOR = 64;
    /**
     * The longest span is {@link #pollIntervalMicros} divided by this, so that the next poll fits into the interval.
     */
    private static final int LONGEST_BACKOFF_DIVISOR = 2;

    private static final int MAX_BACKOFF_DOUBLINGS = 5;
    /** Least base of the backoff, whatever the settings say, to bound the load on discovery. */
    private static final long MIN_BACKOFF_MICROS = 5_000;
    /** Base of the backoff towards the agent. */
    private static final long BASE_AGENT_BACKOFF_MICROS = 2 * MIN_BACKOFF_MICROS;
    /** Longest span towards the agent: a poll of it is cheap, and its changes count as notified at once. */
    private static final long MAX_AGENT_BACKOFF_MICROS = 80_000;
    /** How long a new process waits for the agent's list, which counts as notified from its start. */
    private static final long FIRST_LIST_TIMEOUT_MICROS = 1_000_000;

    /** The path by which a relay is notified of a change. */
    public enum NotificationPath {
        /** Discovery sent it to this relay, on a watch or in the response to a poll. */
        DELIVERED,
        /** The agent on this machine has it; whether the relay watches makes no difference. */
        CACHED_BY_AGENT,
        /** The watch had fallen silent before the change. */
        SILENT_WATCH,
        /** A long poll is open and has fallen silent. */
        SILENT_POLL,
        /** There is no watch, and the last poll succeeded. */
        NO_WATCH,
        /** There is no watch, and the last poll failed. */
        NO_WATCH_POLL_FAILED,
        /** A new configuration names another agent. */
        NEW_CONFIGURATION
    }

    /**
     * When a relay counts as notified of a change.
     *
     * @param changedAtMicros when discovery had the change or, if it was down, when it was back
     * @param sinceMicros when the silence began, the last poll was made or the new configuration came, whichever the
     *     path refers to; not used for a change that was delivered or cached
     * @param longPollMicros how long the open poll may wait; 0 where it is no long poll
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

    /** As for a silent watch, or later for a long poll; in any case no later than after a failed poll. */
    private static long notifiedOnSilentPoll(long changedAtMicros, long silentSinceMicros, long longPollMicros) {
        long graceEndMicros = silentSinceMicros + MISSED_CHANGE_GRACE_MICROS;
        long longPollGraceEndMicros = silentSinceMicros + longPollMicros + MISSED_AFTER_LONG_POLL_MICROS;
        long missedAtMicros = Math.max(graceEndMicros, longPollGraceEndMicros);
        return Math.min(changedAtMicros + MISSED_CHANGE_GRACE_MICROS, Math.max(changedAtMicros, missedAtMicros));
    }

    /** One poll interval after the change; a change before the last poll counts from that poll. */
    private long notifiedByNextPoll(long changedAtMicros, long polledAtMicros) {
        return Math.max(changedAtMicros, polledAtMicros) + pollIntervalMicros;
    }

    /** Some poll intervals after the change, but no later than the grace after it. */
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
     * @param failures consecutive failed polls and watches, the latest one included; 0 for no backoff
     * @param uniformDraw from [0, 1)
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
     * How long a new process waits for its first list before it accepts clients with the one that it was started with.
     */
    public long firstListTimeoutMicros() {
        return pushed ? FIRST_LIST_TIMEOUT_MICROS : 0;
    }
}
