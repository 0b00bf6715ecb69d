package sandstack.measure.scale.storm;

/** When a client that lost its relay, or was refused, comes again. */
public enum ClientBehaviour {
    /** At once, and after each refusal one connect timeout later. */
    AT_ONCE,
    /** A drawn while after the loss, and after each refusal. */
    SPREAD,
    /** A drawn while after the loss; after a refusal, when the advice says. */
    SPREAD_THEN_ADVICE,
    /** At once after the loss; after a refusal, when the advice says. */
    AT_ONCE_THEN_ADVICE
}
