package sandstack.fleet.link;

import static org.assertj.core.api.Assertions.assertThat;

import io.scalecube.cluster.Member;
import io.scalecube.cluster.transport.api.Message;
import java.io.ByteArrayOutputStream;
import java.lang.reflect.Constructor;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sandstack.fleet.FleetMessages;
import sandstack.fleet.FleetMessages.MemberState;
import sandstack.fleet.FleetMessages.ProbeRequest;
import sandstack.fleet.FleetMessages.ProbeResponse;
import sandstack.fleet.FleetMessages.StateGossip;
import sandstack.fleet.Incarnation;
import sandstack.measure.scale.hollow.WireSizes;

/** The message sizes that simulated relays assume equal the sizes of the messages that the program's codec writes. */
class WireSizesTest {
    private static final int LENGTH_BYTES = 4;
    private static final String LIBRARY = "io.scalecube.cluster.";

    private String id;
    private String name;
    private String address;
    private String namespace;
    private WireSizes sizes;

    private void setLengths(int idLength, int nameLength, int addressLength, int namespaceLength, int metadata) {
        id = "a".repeat(idLength);
        name = "n".repeat(nameLength);
        address = "1".repeat(addressLength);
        namespace = "s".repeat(namespaceLength);
        sizes = new WireSizes(idLength, nameLength, addressLength, namespaceLength, metadata);
    }

    private Member member(int i) {
        String own = (id + i).substring((id + i).length() - id.length());
        // distinct objects, as in members read from the wire; serialization writes a shared string only once
        return new Member(own, new String(name), new String(address), new String(namespace));
    }

    /** Creates a message of the library, whose constructors are not public. */
    private static Object create(String type, Object... arguments) throws Exception {
        for (Constructor<?> constructor : Class.forName(LIBRARY + type).getDeclaredConstructors()) {
            Class<?>[] types = constructor.getParameterTypes();
            boolean matches = types.length == arguments.length
                    && IntStream.range(0, types.length).allMatch(i -> accepts(types[i], arguments[i]));
            if (matches) {
                constructor.setAccessible(true);
                return constructor.newInstance(arguments);
            }
        }
        throw new IllegalStateException("no constructor accepts the arguments of " + type);
    }

    private static boolean accepts(Class<?> type, Object argument) {
        return type.isInstance(argument)
                || (type == int.class && argument instanceof Integer)
                || (type == long.class && argument instanceof Long);
    }

    private Object aliveRecord(int i) throws Exception {
        Object status = Class.forName(LIBRARY + "membership.MemberStatus").getEnumConstants()[0];
        assertThat(status).hasToString("ALIVE");
        return create("membership.MembershipRecord", member(i), status, 0);
    }

    private int sentBytes(String qualifier, Object data, boolean expectsResponse) throws Exception {
        Message.Builder message =
                Message.builder().qualifier(qualifier).data(data).sender(address);
        if (expectsResponse) {
            message.correlationId(UUID.randomUUID().toString());
        }
        return encodedBytes(message.build());
    }

    private static int encodedBytes(Message message) throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new FilteredMessageCodec().serialize(message, out);
        return out.size() + LENGTH_BYTES;
    }

    private int gossipBytes(String qualifier, Object data) throws Exception {
        Message message = Message.builder().qualifier(qualifier).data(data).build();
        Object gossip = create("gossip.Gossip", id, message, 1L);
        return sentBytes("sc/gossip/req", create("gossip.GossipRequest", gossip, new String(id)), false);
    }

    @ParameterizedTest
    @CsvSource({"16,10,18,10,80", "16,2,16,3,41", "16,40,21,64,150"})
    void libraryMessages(int idLength, int nameLength, int addressLength, int namespaceLength, int metadata)
            throws Exception {
        setLengths(idLength, nameLength, addressLength, namespaceLength, metadata);
        Object ping = create("fdetector.PingData", member(1), member(2));
        assertThat(sizes.ping()).isEqualTo(sentBytes("sc/fdetector/ping", ping, true));
        assertThat(sizes.pingAck()).isEqualTo(sentBytes("sc/fdetector/pingAck", ping, true));
        assertThat(sizes.pingRequest()).isEqualTo(sentBytes("sc/fdetector/pingReq", ping, true));
        assertThat(sizes.recordGossip()).isEqualTo(gossipBytes("sc/membership/gossip", aliveRecord(1)));
        assertThat(sizes.metadataRequest())
                .isEqualTo(sentBytes("sc/metadata/req", create("metadata.GetMetadataRequest", member(1)), true));
        Object response = create("metadata.GetMetadataResponse", member(1), ByteBuffer.wrap(new byte[metadata]));
        assertThat(sizes.metadataResponse()).isEqualTo(sentBytes("sc/metadata/resp", response, true));
        for (int members : new int[] {1, 50, 400}) {
            List<Object> table = new ArrayList<>();
            for (int i = 0; i < members; i++) {
                table.add(aliveRecord(i));
            }
            Object data = create("membership.SyncData", table);
            assertThat(sizes.sync(members)).isEqualTo(sentBytes("sc/membership/sync", data, true));
            assertThat(sizes.syncAck(members)).isEqualTo(sentBytes("sc/membership/syncAck", data, true));
        }
    }

    @ParameterizedTest
    @CsvSource({"1", "50", "900", "1000"})
    void ownMessages(int reachableCount) throws Exception {
        setLengths(16, 10, 18, 10, 80);
        Set<String> ids = IntStream.range(0, reachableCount)
                .mapToObj(i -> String.format("%064x", i))
                .collect(Collectors.toSet());
        MemberState state = new MemberState(7, Map.of("relays", "5600:12ab34cd"), ids, Set.of());
        Object probeRequest = new ProbeRequest(FleetMessages.PROTOCOL_VERSION, id, name, 7, true);
        Object probeResponse = new ProbeResponse(FleetMessages.PROTOCOL_VERSION, id, name, state, true);
        Object stateGossip = new StateGossip(
                FleetMessages.PROTOCOL_VERSION, id, state, new Incarnation(id, name, "zone-1", "machine-1", address));
        assertThat(sizes.probe(WireSizes.jsonBytes(probeRequest)))
                .isEqualTo(sentBytes("sandstack/question", MessageJson.write(probeRequest), true));
        assertThat(sizes.probeAnswer(WireSizes.jsonBytes(probeResponse)))
                .isEqualTo(sentBytes("sandstack/result", MessageJson.write(probeResponse), true));
        assertThat(sizes.stateGossip(WireSizes.jsonBytes(stateGossip)))
                .isEqualTo(gossipBytes("sandstack/spread", MessageJson.write(stateGossip)));
    }
}
