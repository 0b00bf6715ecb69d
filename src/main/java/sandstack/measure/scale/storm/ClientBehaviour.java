package sandstack.measure.scale.storm;

/** When a client retries after it lost its relay or was rejected. The names are part of the ids of series. */
public enum ClientBehaviour {
    /** At once; after each rejection, one connect timeout later. */
    AT_ONCE,
    /** After a random delay, after the loss and after each rejection. */
    SPREAD,
    /** After a random delay; after a rejection, at the Retry-After of the relay. */
    SPREAD_THEN_ADVICE,
    /** At once; after a rejection, at the Retry-After of the relay. */
    AT_ONCE_THEN_ADVICE
}
