package sandstack.measure.scale;

import java.util.ArrayList;
import java.util.List;
import sandstack.measure.scale.Series.Point;

/**
 * Cost of the endpoint list: its size in bytes, a relay's processor time and memory to handle it, and the computed load
 * of all relays on one discovery service. With {@link Effort#SMALL}, neither time nor heap is measured.
 */
public final class EndpointListScale implements ScaleMeasurement {
    private static final String SERVERS = "feed servers";
    private static final String RELAYS = "relays";
    private static final int[] SERVERS_SMALL = {100, 200, 400};
    private static final int[] SERVERS_QUICK = {100, 500, 1_000};
    private static final int[] SERVERS_FULL = {100, 500, 1_000, 2_500, 5_000};
    private static final int[] RELAYS_SMALL = {50, 100, 200};
    private static final int[] RELAYS_ALL = {50, 200, 800, 2_400, 5_600};
    /** Number of feed servers in the endpoint list whose delta is sent to all relays. */
    private static final int FAN_OUT_SERVERS = 1_000;

    private static final long OUTAGE_MICROS = 10_000_000;
    private static final long SEED = 1;
    /** Each watch sends empty lines as keepalives, each of which is an HTTP chunk of six bytes. */
    private static final double KEEPALIVES_PER_SECOND = 0.5;

    private static final int KEEPALIVE_BYTES = 6;

    private static final String BYTES_METHOD = "the list as the stand-in discovery writes it, counted";
    private static final String TIME_METHOD =
            "bytes in pieces of 8 KB through parser, name table and decision module, in a "
                    + "process of its own with compiler and collector of run; median of five rounds, processor time of its thread; ";
    private static final String PROBE_METHOD = "the same process; ";
    private static final String CALLS_METHOD =
            "reckoned: the pauses of ListClock with ask_every_us of 10 s, drawn for each "
                    + "relay, after all watches broke at once and discovery was away for 10 s; ";

    @Override
    public String name() {
        return "discovery-list";
    }

    @Override
    public List<Series> measure(Effort effort) throws Exception {
        int[] servers =
                switch (effort) {
                    case SMALL -> SERVERS_SMALL;
                    case QUICK -> SERVERS_QUICK;
                    case FULL -> SERVERS_FULL;
                };
        List<Series> all = new ArrayList<>(sizeSeries(servers));
        int[] relays = effort == Effort.SMALL ? RELAYS_SMALL : RELAYS_ALL;
        all.addAll(fanOutSeries(relays));
        all.addAll(outageSeries(relays));
        if (effort != Effort.SMALL) {
            all.addAll(relaySeries(servers));
        }
        return all;
    }

    private static List<Series> sizeSeries(int[] sizes) {
        List<Point> fullListBytes = new ArrayList<>();
        List<Point> deltaBytes = new ArrayList<>();
        for (int servers : sizes) {
            SampleEndpointList list = new SampleEndpointList(servers);
            fullListBytes.add(new Point(servers, list.fullList().length));
            list.setState(0, SampleEndpointList.DRAINING);
            deltaBytes.add(new Point(servers, list.lastDelta().length));
        }
        return List.of(
                discovery("whole-list", Resource.NETWORK, "bytes", SERVERS, BYTES_METHOD + ", whole", fullListBytes),
                discovery(
                        "change",
                        Resource.NETWORK,
                        "bytes",
                        SERVERS,
                        BYTES_METHOD + ", one feed server changed",
                        deltaBytes));
    }

    private static List<Series> fanOutSeries(int[] sizes) {
        SampleEndpointList list = new SampleEndpointList(FAN_OUT_SERVERS);
        list.setState(0, SampleEndpointList.DRAINING);
        int bytesPerDelta = list.lastDelta().length;
        List<Point> fanOut = new ArrayList<>();
        List<Point> keepalive = new ArrayList<>();
        for (int relays : sizes) {
            fanOut.add(new Point(relays, (double) bytesPerDelta * relays));
            keepalive.add(new Point(relays, KEEPALIVES_PER_SECOND * KEEPALIVE_BYTES * relays));
        }
        return List.of(
                discovery(
                        "change-to-all",
                        Resource.NETWORK,
                        "bytes a change",
                        RELAYS,
                        "reckoned: the bytes of a change among " + FAN_OUT_SERVERS
                                + " feed servers times the relays, each of which has a watch",
                        fanOut),
                discovery(
                        "keepalive",
                        Resource.NETWORK,
                        "bytes a second",
                        RELAYS,
                        "reckoned: an empty line each 2 s on each watch; nothing else passes while nothing changes",
                        keepalive));
    }

    private static List<Series> outageSeries(int[] sizes) {
        List<Point> duringOutage = new ArrayList<>();
        List<Point> firstSecond = new ArrayList<>();
        for (int relays : sizes) {
            WatchOutage.Calls calls =
                    new WatchOutage(LoadBalancerDriver.POLL_INTERVAL_MICROS, OUTAGE_MICROS, SEED).simulate(relays);
            duringOutage.add(new Point(relays, calls.perSecondDuringOutage()));
            firstSecond.add(new Point(relays, calls.inFirstSecond()));
        }
        return List.of(
                discovery(
                        "calls-while-down",
                        Resource.MESSAGES,
                        "calls a second",
                        RELAYS,
                        CALLS_METHOD + "calls in that time, which all fail",
                        duringOutage),
                discovery(
                        "calls-after-outage",
                        Resource.MESSAGES,
                        "calls",
                        RELAYS,
                        CALLS_METHOD + "calls in the first second after it",
                        firstSecond));
    }

    private static Series discovery(
            String id, Resource resource, String unit, String per, String method, List<Point> points) {
        return new Series("discovery." + id, Role.DISCOVERY, resource, unit, per, method, points);
    }

    private static List<Series> relaySeries(int[] sizes) throws Exception {
        ProbeOutput output = ProbeProcess.run(EndpointListProbe.class, sizes);
        return List.of(
                relay(
                        "whole-time",
                        Resource.PROCESSOR,
                        "microseconds",
                        TIME_METHOD + "the whole list",
                        output,
                        EndpointListProbe.FULL_LIST),
                relay(
                        "change-time",
                        Resource.PROCESSOR,
                        "microseconds",
                        TIME_METHOD + "a change of one",
                        output,
                        EndpointListProbe.DELTA),
                relay(
                        "heap",
                        Resource.MEMORY,
                        "bytes",
                        PROBE_METHOD + "heap of name table and decision module after a full collection",
                        output,
                        EndpointListProbe.HEAP),
                relay(
                        "allocated",
                        Resource.MEMORY,
                        "bytes",
                        PROBE_METHOD + "bytes allocated while one whole list is read for the first time",
                        output,
                        EndpointListProbe.ALLOCATED));
    }

    private static Series relay(
            String id, Resource resource, String unit, String method, ProbeOutput output, String curve) {
        return new Series(
                "relay.list." + id, Role.RELAY_CONTROL, resource, unit, SERVERS, method, output.points(curve));
    }
}
