package sandstack.testserver;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The feed servers that a discovery lists, with a revision for each change, in the JSON form of its published protocol.
 * No I/O and no clock. Not thread-safe. A change costs O(1), a snapshot O(instances).
 */
public final class InstanceList {
    /** The state of an instance that is no longer listed. */
    public static final String GONE = "gone";

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long BEFORE_FIRST_REVISION = -1;

    /**
     * One feed server.
     *
     * @param endpoint host and port
     * @param model machine type
     * @param capacityHint relative capacity
     * @param state ready, draining or gone
     * @param bootMillis when the process started, in Unix milliseconds; 0 for long ago
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
    private record Listed(Instance instance, long revision) {}

    private final Map<String, Listed> byUid = new LinkedHashMap<>();
    private long revision = 1;

    /** Adds an instance or replaces the entry with the same uid. */
    public void put(Instance instance) {
        byUid.put(instance.uid(), new Listed(instance, ++revision));
    }

    /** The revision of the last change. */
    public long revision() {
        return revision;
    }

    /** The complete list, without the instances that are gone. */
    public ObjectNode snapshot() {
        return changesSince(BEFORE_FIRST_REVISION);
    }

    /** The changes after a revision; the complete list where the revision is negative. */
    public ObjectNode changesSince(long fromRevision) {
        boolean all = fromRevision < 0;
        ObjectNode object = JSON.createObjectNode().put("rev", revision).put("all", all);
        ArrayNode targets = object.putArray("targets");
        for (Listed listed : byUid.values()) {
            boolean gone = listed.instance().state().equals(GONE);
            if (all ? !gone : listed.revision() > fromRevision) {
                appendInstance(targets, listed.instance());
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
