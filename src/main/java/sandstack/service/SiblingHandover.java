package sandstack.service;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.logging.Logger;
import sandstack.config.EndpointListJson;
import sandstack.config.InvalidConfigurationException;
import sandstack.core.EndpointRegistry;
import sandstack.core.Relay;
import sandstack.discovery.DiscoveryWatch;
import sandstack.handover.DescriptorQuota;
import sandstack.handover.SiblingProcesses;
import sandstack.net.ConnectionAdmission;
import sandstack.net.EventLoop;

/**
 * Coordinates this process with its sibling processes while one takes over from another: exchanges endpoint lists and
 * divides the descriptors. {@link #join} is called on the starting thread before the event loop runs; after that the
 * state is confined to the loop's thread.
 */
final class SiblingHandover {
    private static final Logger LOG = Logger.getLogger("sandstack.service");

    private final EventLoop loop;
    private final Relay relay;
    private final ConnectionAdmission admission;
    private final DiscoveryWatch watch;
    private final EndpointListJson listFormat;
    /** Number of descriptors for connections of all processes of this relay together. */
    private final int totalDescriptors;
    /**
     * Number of descriptors that each further process needs for other uses than connections; {@code totalDescriptors}
     * is already reduced by those of one process.
     */
    private final int reservedDescriptors;

    private final SiblingProcesses siblings;
    private boolean hasSiblingList;
    private int processCount = 1;

    SiblingHandover(
            String relayName,
            Map<String, String> environment,
            EventLoop loop,
            Relay relay,
            ConnectionAdmission admission,
            DiscoveryWatch watch,
            int totalDescriptors,
            int reservedDescriptors) {
        this.loop = loop;
        this.relay = relay;
        this.admission = admission;
        this.watch = watch;
        this.listFormat = watch.listFormat();
        this.totalDescriptors = totalDescriptors;
        this.reservedDescriptors = reservedDescriptors;
        this.siblings = new SiblingProcesses(sharedFolder(environment), relayName, loop::nowMicros);
    }

    /** The folder that the processes of a relay share. */
    static Path sharedFolder(Map<String, String> environment) {
        return Path.of(environment.getOrDefault("TMPDIR", System.getProperty("java.io.tmpdir")));
    }

    /** Counts the sibling processes; returns the endpoint list that one of them has published, if there is any. */
    Optional<EndpointRegistry.Update> join() {
        SiblingProcesses.Siblings found = siblings.find();
        setProcessCount(found.count() + 1);
        if (found.endpointList() == null) {
            return Optional.empty();
        }
        try {
            EndpointRegistry.Update update = listFormat.readCached(found.endpointList());
            hasSiblingList = true;
            LOG.info("endpoint list received from sibling process count="
                    + update.endpoints().size());
            return Optional.of(update);
        } catch (InvalidConfigurationException e) {
            LOG.warning("endpoint list of sibling process rejected reason=\"" + e.getMessage() + "\"");
            return Optional.empty();
        }
    }

    /** Follows the list of a sibling process that watches the same discovery: one relay has been told both lists. */
    private void onSiblingList(String endpointList) {
        try {
            boolean sameSource = EndpointListJson.sourceOf(endpointList)
                    .equals(watch.listSource().toString());
            if (sameSource && watch.isListCurrent()) {
                relay.onSiblingEndpointList(listFormat.readCached(endpointList));
            }
        } catch (InvalidConfigurationException e) {
            LOG.warning("endpoint list of sibling process rejected reason=\"" + e.getMessage() + "\"");
        }
    }

    /** Starts to publish this process's state and to receive that of the siblings. */
    void start() {
        siblings.start(new LoopStateExchange());
    }

    void close() {
        siblings.close();
    }

    /** Whether this process started with a sibling process's endpoint list. */
    boolean hasSiblingList() {
        return hasSiblingList;
    }

    int processCount() {
        return processCount;
    }

    private void setProcessCount(int count) {
        if (count != processCount) {
            processCount = count;
            relay.onProcessCount(count);
            LOG.info("process count changed count=" + count);
        }
    }

    /**
     * Supplies this process's state from the event loop's thread, and applies the siblings' state on it. Called on the
     * heartbeat thread of {@link SiblingProcesses}.
     */
    private final class LoopStateExchange implements SiblingProcesses.LocalProcess {
        @Override
        public SiblingProcesses.LocalState state(long writtenListVersion) throws InterruptedException {
            CompletableFuture<SiblingProcesses.LocalState> state = new CompletableFuture<>();
            loop.execute(() -> {
                long changeCount = relay.endpoints().changeCount();
                state.complete(new SiblingProcesses.LocalState(
                        admission.descriptorsInUse(),
                        changeCount,
                        changeCount == writtenListVersion
                                ? null
                                : listFormat.toJson(relay.endpoints(), watch.listSource())));
            });
            try {
                return state.get();
            } catch (ExecutionException e) {
                throw new IllegalStateException(e);
            }
        }

        @Override
        public void onEndpointLists(List<String> endpointLists) {
            loop.execute(() -> endpointLists.forEach(SiblingHandover.this::onSiblingList));
        }

        @Override
        public void onSiblings(List<Integer> descriptorsInUse) {
            loop.execute(() -> {
                if (descriptorsInUse.isEmpty() && processCount == 1) {
                    return;
                }
                setProcessCount(descriptorsInUse.size() + 1);
                admission.setDescriptorLimit(DescriptorQuota.of(
                        totalDescriptors - reservedDescriptors * descriptorsInUse.size(),
                        admission.descriptorsInUse(),
                        descriptorsInUse));
            });
        }
    }
}
