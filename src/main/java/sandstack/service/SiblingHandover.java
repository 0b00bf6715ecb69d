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
import sandstack.handover.DescriptorQuota;
import sandstack.handover.SiblingProcesses;
import sandstack.net.ConnectionAdmission;
import sandstack.net.EventLoop;

/**
 * This process among the processes of the same relay, while one takes over from another: exchanges endpoint lists and
 * divides the descriptors. Joined on the starting thread before the event loop runs; its state is the loop's after
 * that.
 */
final class SiblingHandover {
    private static final Logger LOG = Logger.getLogger("sandstack.service");

    private final EventLoop loop;
    private final Relay relay;
    private final ConnectionAdmission admission;
    private final EndpointListJson listFormat;
    /** For connections, of all processes of this relay together. */
    private final int totalDescriptors;
    /** What each further process needs besides its connections. */
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
            EndpointListJson listFormat,
            int totalDescriptors,
            int reservedDescriptors) {
        this.loop = loop;
        this.relay = relay;
        this.admission = admission;
        this.listFormat = listFormat;
        this.totalDescriptors = totalDescriptors;
        this.reservedDescriptors = reservedDescriptors;
        this.siblings = new SiblingProcesses(
                Path.of(environment.getOrDefault("TMPDIR", System.getProperty("java.io.tmpdir"))),
                relayName,
                loop::nowMicros);
    }

    /** Counts the sibling processes; returns the endpoint list of one that serves, if there is any. */
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

    /** Starts to publish this process's state to the others. */
    void start() {
        siblings.start(new LocalProcess());
    }

    void close() {
        siblings.close();
    }

    /** Whether the endpoint list came from a sibling process at the start. */
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
     * What the other processes are notified of, and what follows here from their state. Called on the siblings' thread.
     */
    private final class LocalProcess implements SiblingProcesses.LocalProcess {
        @Override
        public SiblingProcesses.LocalState state(long writtenListVersion) throws InterruptedException {
            CompletableFuture<SiblingProcesses.LocalState> state = new CompletableFuture<>();
            loop.execute(() -> {
                long changeCount = relay.endpoints().changeCount();
                state.complete(new SiblingProcesses.LocalState(
                        admission.descriptorsInUse(),
                        changeCount,
                        changeCount == writtenListVersion ? null : listFormat.toJson(relay.endpoints())));
            });
            try {
                return state.get();
            } catch (ExecutionException e) {
                throw new IllegalStateException(e);
            }
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
