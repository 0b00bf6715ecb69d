package sandstack.front.platform;

/** Keywords and limits of the platform's line protocol, as they stand on the wire. */
final class PlatformProtocol {
    static final String LINE_END = "\r\n";
    static final int MAX_LINE_BYTES = 4096;

    /** First word of a client's request. */
    static final String OPEN = "OPEN";

    static final String PING_LINE = "PING" + LINE_END;
    static final String PONG_LINE = "PONG" + LINE_END;

    /** A feed server accepts the request. */
    static final String UP = "UP";
    /** A rejection, with or without the milliseconds of a Retry-After. */
    static final String BUSY = "BUSY";
    /** A failure or a malformed request, to a client. */
    static final String ERR = "ERR";
    /** A feed server could not parse the request. */
    static final String SYNTAX = "SYNTAX";
    /** The client has to reconnect, because its feed server or its relay is draining. */
    static final String MOVE = "MOVE";
    /** A feed server has served the connection to its end. */
    static final String BYE = "BYE";
    /** Begins a feed server's load report or delay report. */
    static final String LOAD_PREFIX = "LOAD ";

    /** Request parameter: the request class. */
    static final String CLASS_PARAMETER = "c";
    /** Request parameter: how long the client waits, in milliseconds. */
    static final String DEADLINE_PARAMETER = "d";
    /** Request parameter: the load that the client expects to cause. */
    static final String LOAD_HINT_PARAMETER = "h";
    /** Request parameter: the tenant. */
    static final String TENANT_PARAMETER = "t";
    /** Request parameter: the group. */
    static final String GROUP_PARAMETER = "g";
    /** Request parameter: 1 for a client that reconnects. */
    static final String RECONNECT_PARAMETER = "again";
    /** Request parameter: the feed server at which the client was before. */
    static final String PREVIOUS_SERVER_PARAMETER = "at";

    private PlatformProtocol() {}
}
