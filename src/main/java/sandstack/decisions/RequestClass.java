package sandstack.decisions;

/**
 * A class of requests.
 *
 * @param latencyObjectiveMicros time in which a connection should stand
 * @param deadlineMicros total time a client waits
 * @param priorityWeight worth of one request, or of a unit of work where {@link
 *     BalancerSettings#weightPerUnitOfWork}
 * @param idempotency what repeating does
 * @param deduplicationScope with KEYED: which servers drop repeats
 * @param deduplicationWindowMicros with KEYED: how long repeats are dropped, from the first attempt that may have
 *     run
 * @param messageLatencyObjectiveMicros aim for one message on a standing connection; 0 where none is stated
 */
public record RequestClass(
        long latencyObjectiveMicros,
        long deadlineMicros,
        double priorityWeight,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        long deduplicationWindowMicros,
        long messageLatencyObjectiveMicros) {}
