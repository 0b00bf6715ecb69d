package sandstack.testserver;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The list of feed servers that discovery serves, in the JSON form of the published discovery protocol, with a revision
 * number that each change increments. "Instance" is discovery's word for a feed server. No I/O and no clock. Not
 * thread-safe. A change costs O(1), reading the list or its changes O(instances).
 */
public final class InstanceList {
    /** The state of a removed instance: it appears in changes but not in the complete list. */
    public static final String GONE = "gone";

    private static final ObjectMapper JSON = new ObjectMapper();
    /** Passed to {@link #changesSince} to request the complete list. */
    private static final long NO_REVISION = -1;

    /**
     * One feed server.
     *
     * @param endpoint host and port
     * @param model machine type
     * @param capacityHint relative capacity
     * @param state ready, draining or gone
     * @param bootMillis start time of the process in Unix milliseconds; 0 means long ago
     */
    public record Instance(
            String uid,
            String endpoint,
            String zone,
            String model,
            double capacityHint,
            String state,
            long bootMillis) {}

    /** An instance and the revision at which it last changed. */
    private record VersionedInstance(Instance instance, long revision) {}

    private final Map<String, VersionedInstance> byUid = new LinkedHashMap<>();
    private long revision = 1;

    /** Adds an instance or replaces the entry with the same uid. */
    public void put(Instance instance) {
        byUid.put(instance.uid(), new VersionedInstance(instance, ++revision));
    }

    /** The revision of the last change. */
    public long revision() {
        return revision;
    }

    /** The complete list, without removed instances. */
    public ObjectNode snapshot() {
        return changesSince(NO_REVISION);
    }

    /**
     * The instances changed after this revision, including removed ones; the complete list if the revision is negative.
     */
    public ObjectNode changesSince(long fromRevision) {
        boolean all = fromRevision < 0;
        ObjectNode object = JSON.createObjectNode().put("rev", revision).put("all", all);
        ArrayNode targets = object.putArray("targets");
        for (VersionedInstance entry : byUid.values()) {
            boolean gone = entry.instance().state().equals(GONE);
            if (all ? !gone : entry.revision() > fromRevision) {
                appendInstance(targets, entry.instance());
            }
        }
        return object;
    }

    private static void appendInstance(ArrayNode targets, Instance instance) {
        targets.addObject()
                .put("uid", instance.uid())
                .put("endpoint", instance.endpoint())
                .put("az", instance.zone())
                .put("model", instance.model())
                .put("pod_group", 0)
                .put("state", instance.state())
                .put("capacity_hint", instance.capacityHint())
                .put("boot_ms", instance.bootMillis());
    }
}
