package sandstack.measure.scale.storm;

/**
 * When a client retries after the loss of its relay and after a rejection. The names are part of series ids;
 * {@code ADVICE} in them is the Retry-After of a rejection.
 */
public enum ClientBehaviour {
    /** Immediately after the loss; after each rejection, one connect timeout later. */
    AT_ONCE,
    /** After a random delay, both after the loss and after each rejection. */
    SPREAD,
    /** After a random delay after the loss; after a rejection, at the Retry-After of the relay. */
    SPREAD_THEN_ADVICE,
    /** Immediately after the loss; after a rejection, at the Retry-After of the relay. */
    AT_ONCE_THEN_ADVICE
}
