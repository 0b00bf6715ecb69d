package sandstack.measure.scale.hollow;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;

/**
 * Sizes of the messages between members in bytes, including the length prefix. The sizes of the gossip library's
 * messages are linear in the lengths of the names in them; the constants are the remaining bytes. A test compares each
 * formula with the codec.
 *
 * @param id length of a member's id in characters
 * @param name length of its name
 * @param address length of {@code HOST:PORT}
 * @param namespace length of the installation's name
 * @param metadata length of its encoded metadata in bytes
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
    /** Java serialization encodes the length of longer strings in eight bytes instead of two. */
    private static final int LONG_STRING_BYTES = 65_535;

    private static final int LONG_STRING_EXTRA_BYTES = 6;

    private int member() {
        return id + name + address + namespace;
    }

    /** A ping. */
    public int ping() {
        return PING + 2 * member() + address;
    }

    /** The acknowledgement of a ping. */
    public int pingAck() {
        return PING_ACK + 2 * member() + address;
    }

    /** A request for an indirect ping. */
    public int pingRequest() {
        return PING_REQUEST + 2 * member() + address;
    }

    /** A membership table with {@code members} members. */
    public int sync(int members) {
        return SYNC + address + members * (RECORD + member());
    }

    /** The answer to a membership table. */
    public int syncAck(int members) {
        return SYNC_ACK + address + members * (RECORD + member());
    }

    /** A gossiped record of the membership table. */
    public int recordGossip() {
        return RECORD_GOSSIP + member() + 2 * id + address;
    }

    /** A metadata request. */
    public int metadataRequest() {
        return METADATA_REQUEST + member() + address;
    }

    /** A metadata response. */
    public int metadataResponse() {
        return METADATA_RESPONSE + member() + address + metadata;
    }

    /** A gossiped member state with a JSON body of this size. */
    public int stateGossip(int body) {
        return STATE_GOSSIP + 2 * id + address + stringBytes(body);
    }

    /** A reachability probe with a JSON body of this size. */
    public int probe(int body) {
        return PROBE + address + stringBytes(body);
    }

    /** The answer to a probe with a JSON body of this size. */
    public int probeAnswer(int body) {
        return PROBE_ANSWER + address + stringBytes(body);
    }

    private static int stringBytes(int bytes) {
        return bytes > LONG_STRING_BYTES ? bytes + LONG_STRING_EXTRA_BYTES : bytes;
    }

    /** The size of a message as JSON. */
    public static int jsonBytes(Object message) {
        try {
            return JSON.writeValueAsString(message).getBytes(StandardCharsets.UTF_8).length;
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a message cannot be encoded as JSON", e);
        }
    }
}
