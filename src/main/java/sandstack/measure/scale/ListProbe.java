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
 * Measures what a relay does with discovery's list, from the bytes to the decision module, without sockets. The arguments
 * are numbers of feed servers.
 */
final class ListProbe {
    static final String HEAP = "heap";
    static final String ALLOCATED = "allocated";
    static final String WHOLE = "whole";
    static final String CHANGE = "change";

    private static final int PIECE = 8 * 1024;
    private static final int ROUNDS = 5;
    private static final int WARM_UP_SERVERS = 200;
    private static final int WARM_UP_LISTS = 40;
    private static final int CHANGES = 20;
    private static final long SEED = 7;
    /** Without it each change would be told on the standard error. */
    private static final Logger LOG = Logger.getLogger("sandstack");

    private final Relay relay = new Relay(DecisionDriver.settings(), SEED, System::nanoTime, () -> {});
    private final EndpointListJson form = new EndpointListJson(SampleList.ZONES, new MachineKinds(List.of()));
    private final JsonObjectStream stream = new JsonObjectStream();

    private ListProbe() {}

    /** Prints a point of each curve for each number of feed servers. */
    public static void main(String[] sizes) throws Exception {
        LOG.setLevel(Level.OFF);
        warmUp();
        for (String size : sizes) {
            measure(Integer.parseInt(size));
        }
    }

    private static void warmUp() throws Exception {
        ListProbe probe = new ListProbe();
        byte[] whole = new SampleList(WARM_UP_SERVERS).whole();
        ProbeClock.microsEach(1, WARM_UP_LISTS, () -> probe.heard(whole));
        ProbeClock.liveBytes();
    }

    private static void measure(int servers) throws Exception {
        SampleList list = new SampleList(servers);
        byte[] whole = list.whole();
        list.change(0, SampleList.DRAINING);
        byte[] away = list.lastChange();
        list.change(0, SampleList.READY);
        byte[] back = list.lastChange();
        long before = ProbeClock.liveBytes();
        ListProbe probe = new ListProbe();
        long allocatedBefore = allocated();
        probe.heard(whole);
        ProbeOutput.print(ALLOCATED, servers, allocated() - allocatedBefore);
        ProbeOutput.print(HEAP, servers, ProbeClock.liveBytes() - before);
        ProbeOutput.print(WHOLE, servers, ProbeClock.microsEach(ROUNDS, 1, () -> probe.heard(whole)));
        ProbeOutput.print(
                CHANGE, servers, ProbeClock.microsEach(ROUNDS, CHANGES, () -> probe.heardBoth(away, back)) / 2);
    }

    private static long allocated() {
        return ((ThreadMXBean) ManagementFactory.getThreadMXBean()).getCurrentThreadAllocatedBytes();
    }

    private void heardBoth(byte[] first, byte[] second) throws IOException, InvalidConfigurationException {
        heard(first);
        heard(second);
    }

    /** Takes bytes as they come from the watch, in pieces, and lets the relay take its turn. */
    private void heard(byte[] bytes) throws IOException, InvalidConfigurationException {
        for (int from = 0; from < bytes.length; from += PIECE) {
            byte[] piece = Arrays.copyOfRange(bytes, from, Math.min(bytes.length, from + PIECE));
            for (JsonNode object : stream.feed(piece)) {
                relay.onEndpointList(form.news(object, false));
            }
        }
        relay.runTurn();
    }
}
