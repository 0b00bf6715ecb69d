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

/** The sizes that simulated relays assume are those of messages that the program's codec writes. */
class WireSizesTest {
    private static final int LENGTH_BYTES = 4;
    private static final String LIBRARY = "io.scalecube.cluster.";

    private String id;
    private String name;
    private String address;
    private String namespace;
    private WireSizes sizes;

    private void names(int idLength, int nameLength, int addressLength, int namespaceLength, int metadata) {
        id = "a".repeat(idLength);
        name = "n".repeat(nameLength);
        address = "1".repeat(addressLength);
        namespace = "s".repeat(namespaceLength);
        sizes = new WireSizes(idLength, nameLength, addressLength, namespaceLength, metadata);
    }

    private Member member(int i) {
        String own = (id + i).substring((id + i).length() - id.length());
        // as read from the wire: no two members share a string
        return new Member(own, new String(name), new String(address), new String(namespace));
    }

    /** The constructors of the library's messages are not public. */
    private static Object make(String type, Object... arguments) throws Exception {
        for (Constructor<?> constructor : Class.forName(LIBRARY + type).getDeclaredConstructors()) {
            Class<?>[] types = constructor.getParameterTypes();
            boolean fits = types.length == arguments.length
                    && IntStream.range(0, types.length).allMatch(i -> fits(types[i], arguments[i]));
            if (fits) {
                constructor.setAccessible(true);
                return constructor.newInstance(arguments);
            }
        }
        throw new IllegalStateException("no way to make " + type);
    }

    private static boolean fits(Class<?> type, Object argument) {
        return type.isInstance(argument)
                || (type == int.class && argument instanceof Integer)
                || (type == long.class && argument instanceof Long);
    }

    private Object alive(int i) throws Exception {
        Object alive = Class.forName(LIBRARY + "membership.MemberStatus").getEnumConstants()[0];
        assertThat(alive).hasToString("ALIVE");
        return make("membership.MembershipRecord", member(i), alive, 0);
    }

    private int sent(String qualifier, Object data, boolean asked) throws Exception {
        Message.Builder message =
                Message.builder().qualifier(qualifier).data(data).sender(address);
        if (asked) {
            message.correlationId(UUID.randomUUID().toString());
        }
        return encoded(message.build());
    }

    private static int encoded(Message message) throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new FilteredMessageCodec().serialize(message, out);
        return out.size() + LENGTH_BYTES;
    }

    private int gossip(String qualifier, Object data) throws Exception {
        Message told = Message.builder().qualifier(qualifier).data(data).build();
        Object gossip = make("gossip.Gossip", id, told, 1L);
        return sent("sc/gossip/req", make("gossip.GossipRequest", gossip, new String(id)), false);
    }

    @ParameterizedTest
    @CsvSource({"16,10,18,10,80", "16,2,16,3,41", "16,40,21,64,150"})
    void libraryMessages(int idLength, int nameLength, int addressLength, int namespaceLength, int metadata)
            throws Exception {
        names(idLength, nameLength, addressLength, namespaceLength, metadata);
        Object ping = make("fdetector.PingData", member(1), member(2));
        assertThat(sizes.ping()).isEqualTo(sent("sc/fdetector/ping", ping, true));
        assertThat(sizes.pingAck()).isEqualTo(sent("sc/fdetector/pingAck", ping, true));
        assertThat(sizes.pingRequest()).isEqualTo(sent("sc/fdetector/pingReq", ping, true));
        assertThat(sizes.recordGossip()).isEqualTo(gossip("sc/membership/gossip", alive(1)));
        assertThat(sizes.metadataRequest())
                .isEqualTo(sent("sc/metadata/req", make("metadata.GetMetadataRequest", member(1)), true));
        Object response = make("metadata.GetMetadataResponse", member(1), ByteBuffer.wrap(new byte[metadata]));
        assertThat(sizes.metadataResponse()).isEqualTo(sent("sc/metadata/resp", response, true));
        for (int members : new int[] {1, 50, 400}) {
            List<Object> table = new ArrayList<>();
            for (int i = 0; i < members; i++) {
                table.add(alive(i));
            }
            Object data = make("membership.SyncData", table);
            assertThat(sizes.sync(members)).isEqualTo(sent("sc/membership/sync", data, true));
            assertThat(sizes.syncAck(members)).isEqualTo(sent("sc/membership/syncAck", data, true));
        }
    }

    @ParameterizedTest
    @CsvSource({"1", "50", "900", "1000"})
    void ownMessages(int reached) throws Exception {
        names(16, 10, 18, 10, 80);
        Set<String> ids = IntStream.range(0, reached)
                .mapToObj(i -> String.format("%064x", i))
                .collect(Collectors.toSet());
        MemberState news = new MemberState(7, Map.of("relays", "5600:12ab34cd"), ids, Set.of());
        Object question = new ProbeRequest(FleetMessages.PROTOCOL_VERSION, id, name, 7, true);
        Object answer = new ProbeResponse(FleetMessages.PROTOCOL_VERSION, id, name, news, true);
        Object spread = new StateGossip(
                FleetMessages.PROTOCOL_VERSION, id, news, new Incarnation(id, name, "zone-1", "machine-1", address));
        assertThat(sizes.probe(WireSizes.jsonBytes(question)))
                .isEqualTo(sent("sandstack/question", MessageJson.write(question), true));
        assertThat(sizes.probeAnswer(WireSizes.jsonBytes(answer)))
                .isEqualTo(sent("sandstack/result", MessageJson.write(answer), true));
        assertThat(sizes.stateGossip(WireSizes.jsonBytes(spread)))
                .isEqualTo(gossip("sandstack/spread", MessageJson.write(spread)));
    }
}
