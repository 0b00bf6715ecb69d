package sandstack.measure.scale.hollow;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;

/**
 * Bytes on the wire of each message between members, frame length included. The library's messages are linear in the
 * lengths of the names in them; the constants were measured from messages encoded by the program's own codec, and a test
 * compares each formula with that codec. Pure.
 *
 * @param id characters of a member's id
 * @param name characters of its name
 * @param address characters of {@code HOST:PORT}
 * @param namespace characters of the installation's name
 * @param metadata bytes with which it says who it is
 */
public record WireSizes(int id, int name, int address, int namespace, int metadata) {
    private static final ObjectMapper JSON = new ObjectMapper();

    private static final int PING = 229;
    private static final int PING_ACK = 232;
    private static final int PING_REQUEST = 232;
    private static final int SYNC = 351;
    private static final int SYNC_ACK = 354;
    private static final int RECORD = 36;
    private static final int RECORD_GOSSIP = 499;
    private static final int METADATA_REQUEST = 216;
    private static final int METADATA_RESPONSE = 224;
    private static final int STATE_GOSSIP = 272;
    private static final int PROBE = 100;
    private static final int PROBE_ANSWER = 98;
    /** Java's serialisation writes the length of a longer text in eight bytes and not in two. */
    private static final int LONG_STRING_BYTES = 65_535;

    private static final int LONG_STRING_EXTRA_BYTES = 6;

    private int member() {
        return id + name + address + namespace;
    }

    /** Of a ping. */
    public int ping() {
        return PING + 2 * member() + address;
    }

    /** Of its acknowledgement. */
    public int pingAck() {
        return PING_ACK + 2 * member() + address;
    }

    /** Of the request that another member pings. */
    public int pingRequest() {
        return PING_REQUEST + 2 * member() + address;
    }

    /** The library's table of so many members. */
    public int sync(int members) {
        return SYNC + address + members * (RECORD + member());
    }

    /** Of the table with which that is answered. */
    public int syncAck(int members) {
        return SYNC_ACK + address + members * (RECORD + member());
    }

    /** One record of that table, by gossip. */
    public int recordGossip() {
        return RECORD_GOSSIP + member() + 2 * id + address;
    }

    /** Of the question who a member is. */
    public int metadataRequest() {
        return METADATA_REQUEST + member() + address;
    }

    /** Of its answer. */
    public int metadataResponse() {
        return METADATA_RESPONSE + member() + address + metadata;
    }

    /** A member's state by gossip, with a body of so many bytes. */
    public int stateGossip(int body) {
        return STATE_GOSSIP + 2 * id + address + stringBytes(body);
    }

    /** Of a reachability probe with a body of so many bytes. */
    public int probe(int body) {
        return PROBE + address + stringBytes(body);
    }

    /** Of its answer. */
    public int probeAnswer(int body) {
        return PROBE_ANSWER + address + stringBytes(body);
    }

    private static int stringBytes(int bytes) {
        return bytes > LONG_STRING_BYTES ? bytes + LONG_STRING_EXTRA_BYTES : bytes;
    }

    /** The bytes of a message of ours as JSON. */
    public static int jsonBytes(Object message) {
        try {
            return JSON.writeValueAsString(message).getBytes(StandardCharsets.UTF_8).length;
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a message that is no JSON", e);
        }
    }
}
