package sandstack.decisions;

/**
 * A class of requests. Times are microseconds.
 *
 * @param latencyObjectiveMicros time in which a connection should be established
 * @param deadlineMicros total time a client waits
 * @param priorityWeight value of serving one request, or one unit of work with
 *     {@link BalancerSettings#weightPerUnitOfWork}
 * @param idempotency whether a request may be executed more than once
 * @param deduplicationScope with {@link Idempotency#WITH_KEY}: which servers drop duplicates
 * @param deduplicationWindowMicros with {@link Idempotency#WITH_KEY}: how long duplicates are dropped, from the first
 *     attempt that may have been executed
 * @param messageLatencyObjectiveMicros latency objective for messages on an established connection; 0 where there is
 *     none
 */
public record RequestClass(
        long latencyObjectiveMicros,
        long deadlineMicros,
        double priorityWeight,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        long deduplicationWindowMicros,
        long messageLatencyObjectiveMicros) {}
