package sandstack.fleet.link;

/** The qualifiers by which the library distinguishes the kinds of messages; part of the wire protocol. */
final class Qualifiers {
    static final String PROBE_REQUEST = "sandstack/question";
    static final String STATE_GOSSIP = "sandstack/spread";
    static final String CALL_REQUEST = "sandstack/call";
    /** The response to a probe or a call. */
    static final String RESPONSE = "sandstack/result";

    private Qualifiers() {}
}
