package sandstack.front.platform;

/** Keywords, parameter names and limits of the platform's line protocol, exactly as on the wire. */
final class PlatformProtocol {
    static final String LINE_END = "\r\n";
    static final int MAX_LINE_BYTES = 4096;

    /** First word of a client's request. */
    static final String OPEN = "OPEN";

    static final String PING_LINE = "PING" + LINE_END;
    static final String PONG_LINE = "PONG" + LINE_END;

    /** A feed server's answer: the request is accepted. */
    static final String UP = "UP";
    /** The request was not executed; a Retry-After in milliseconds may follow. */
    static final String BUSY = "BUSY";
    /** The relay's answer to a client whose request failed or was malformed. */
    static final String ERR = "ERR";
    /** A feed server's answer: it could not parse the request. */
    static final String SYNTAX = "SYNTAX";
    /** The client has to reconnect, because its feed server or its relay is draining, or because it is migrated. */
    static final String MOVE = "MOVE";
    /** A feed server's last line on a connection that ends normally. */
    static final String BYE = "BYE";
    /** Prefix of a feed server's load report or delay report. */
    static final String LOAD_PREFIX = "LOAD ";

    /** Request parameter: the request class. */
    static final String CLASS_PARAMETER = "c";
    /** Request parameter: how long the client waits for an answer, in milliseconds. */
    static final String DEADLINE_PARAMETER = "d";
    /** Request parameter: the client's estimate of the connection's load. */
    static final String EXPECTED_LOAD_PARAMETER = "h";
    /** Request parameter: the tenant. */
    static final String TENANT_PARAMETER = "t";
    /** Request parameter: the group. */
    static final String GROUP_PARAMETER = "g";
    /** Request parameter: 1 for a client that reconnects. */
    static final String RECONNECT_PARAMETER = "again";
    /** Request parameter: the feed server of the connection, if it was established before the relay started. */
    static final String ADOPTED_FROM_PARAMETER = "at";

    private PlatformProtocol() {}
}
