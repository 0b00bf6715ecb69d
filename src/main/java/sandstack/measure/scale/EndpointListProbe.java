package sandstack.measure.scale;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.management.ThreadMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import sandstack.config.EndpointListJson;
import sandstack.config.InvalidConfigurationException;
import sandstack.config.MachineKinds;
import sandstack.core.Relay;
import sandstack.discovery.JsonObjectStream;

/**
 * Main class of a probe process that measures the cost of endpoint lists in a relay, from parsing the bytes to updating
 * the load balancer, without sockets. Arguments: numbers of feed servers, which are the sizes of the printed points.
 */
final class EndpointListProbe {
    /** Names of the curves in the output. */
    static final String HEAP = "heap";

    static final String ALLOCATED = "allocated";
    static final String FULL_LIST = "whole";
    static final String DELTA = "change";

    private static final int CHUNK_BYTES = 8 * 1024;
    private static final int ROUNDS = 5;
    private static final int WARM_UP_SERVERS = 200;
    private static final int WARM_UP_LISTS = 40;
    private static final int DELTAS_PER_ROUND = 20;
    private static final long SEED = 7;
    /**
     * Turned off, because each endpoint change would be logged. Kept in a field, because the log manager holds only
     * weak references to loggers.
     */
    private static final Logger LOG = Logger.getLogger("sandstack");

    private final Relay relay = new Relay(LoadBalancerDriver.settings(), SEED, System::nanoTime, () -> {});
    private final EndpointListJson json = new EndpointListJson(SampleEndpointList.ZONES, new MachineKinds(List.of()));
    private final JsonObjectStream stream = new JsonObjectStream();

    private EndpointListProbe() {}

    /** Prints one point of each curve for each number of feed servers. */
    public static void main(String[] sizes) throws Exception {
        LOG.setLevel(Level.OFF);
        warmUp();
        for (String size : sizes) {
            measure(Integer.parseInt(size));
        }
    }

    private static void warmUp() throws Exception {
        EndpointListProbe probe = new EndpointListProbe();
        byte[] fullList = new SampleEndpointList(WARM_UP_SERVERS).fullList();
        ProbeClock.medianMicros(1, WARM_UP_LISTS, () -> probe.receive(fullList));
        ProbeClock.liveBytes();
    }

    private static void measure(int servers) throws Exception {
        SampleEndpointList list = new SampleEndpointList(servers);
        byte[] fullList = list.fullList();
        list.setState(0, SampleEndpointList.DRAINING);
        byte[] drainingDelta = list.lastDelta();
        list.setState(0, SampleEndpointList.READY);
        byte[] readyDelta = list.lastDelta();
        long heapBytesBefore = ProbeClock.liveBytes();
        EndpointListProbe probe = new EndpointListProbe();
        long allocatedBefore = allocatedBytes();
        probe.receive(fullList);
        ProbeOutput.print(ALLOCATED, servers, (double) (allocatedBytes() - allocatedBefore));
        ProbeOutput.print(HEAP, servers, (double) (ProbeClock.liveBytes() - heapBytesBefore));
        ProbeOutput.print(FULL_LIST, servers, ProbeClock.medianMicros(ROUNDS, 1, () -> probe.receive(fullList)));
        ProbeOutput.print(
                DELTA,
                servers,
                ProbeClock.medianMicros(ROUNDS, DELTAS_PER_ROUND, () -> probe.receiveBoth(drainingDelta, readyDelta))
                        / 2);
    }

    private static long allocatedBytes() {
        return ((ThreadMXBean) ManagementFactory.getThreadMXBean()).getCurrentThreadAllocatedBytes();
    }

    private void receiveBoth(byte[] first, byte[] second) throws IOException, InvalidConfigurationException {
        receive(first);
        receive(second);
    }

    /** Parses bytes in chunks, as a watch delivers them, then runs one turn of the relay. */
    private void receive(byte[] bytes) throws IOException, InvalidConfigurationException {
        for (int from = 0; from < bytes.length; from += CHUNK_BYTES) {
            byte[] chunk = Arrays.copyOfRange(bytes, from, Math.min(bytes.length, from + CHUNK_BYTES));
            for (JsonNode object : stream.feed(chunk)) {
                relay.onEndpointList(json.readUpdate(object));
            }
        }
        relay.runTurn();
    }
}
