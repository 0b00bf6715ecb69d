package sandstack.decisions;

/**
 * A class of requests with the same objectives and the same rules for retries. Times are in microseconds.
 *
 * @param latencyObjectiveMicros time in which a connection should be established
 * @param deadlineMicros total time that a client waits for its connection
 * @param priorityWeight value of serving one request, or one unit of work with
 *     {@link BalancerSettings#weightPerUnitOfWork}
 * @param idempotency whether a request may be executed more than once
 * @param deduplicationScope with {@link Idempotency#WITH_KEY}: the servers that drop duplicates
 * @param deduplicationWindowMicros with {@link Idempotency#WITH_KEY}: time during which duplicates are dropped, from
 *     the first attempt that may have been executed
 * @param messageLatencyObjectiveMicros latency objective for messages on an established connection; 0 if there is none
 */
public record RequestClass(
        long latencyObjectiveMicros,
        long deadlineMicros,
        double priorityWeight,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        long deduplicationWindowMicros,
        long messageLatencyObjectiveMicros) {}
