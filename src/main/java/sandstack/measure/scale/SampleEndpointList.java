package sandstack.measure.scale;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import sandstack.testserver.InstanceList;
import sandstack.testserver.InstanceList.Instance;

/** An endpoint list with feed servers in four zones, in the wire format of the discovery service. */
final class SampleEndpointList {
    static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c", "zone-d");
    static final String READY = "ready";
    static final String DRAINING = "draining";

    private static final long FIRST_BOOT_MILLIS = 1_750_000_000_000L;
    private static final int FIRST_PORT = 3_000;
    private static final int SERVERS_PER_SUBNET = 250;

    private final InstanceList list = new InstanceList();

    SampleEndpointList(int servers) {
        for (int i = 0; i < servers; i++) {
            setState(i, READY);
        }
    }

    /** Sets the state of a feed server, such as {@link #READY}, in a new revision of the list. */
    void setState(int server, String state) {
        String host = "10.1." + server / SERVERS_PER_SUBNET + "." + server % SERVERS_PER_SUBNET;
        list.put(new Instance(
                String.format(Locale.ROOT, "feed-%05d", server),
                host + ":" + (FIRST_PORT + server % ZONES.size()),
                ZONES.get(server % ZONES.size()),
                "box-" + server % 2,
                1,
                state,
                FIRST_BOOT_MILLIS + server));
    }

    /** The full list as one line. */
    byte[] fullList() {
        return line(list.snapshot());
    }

    /** The last change as one line, in the format of a delta. */
    byte[] lastDelta() {
        return line(list.changesSince(list.revision() - 1));
    }

    private static byte[] line(ObjectNode object) {
        return (object + "\n").getBytes(StandardCharsets.UTF_8);
    }
}
