package sandstack.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import sandstack.decisions.BalancerAction.Migrate;
import sandstack.decisions.BalancerAction.StartAttempt;
import sandstack.decisions.BalancerEvent.ConnectRequested;
import sandstack.decisions.BalancerEvent.ConnectionAdopted;
import sandstack.decisions.BalancerEvent.ConnectionEstablished;
import sandstack.decisions.BalancerEvent.DelayReported;

/** Fourteen modules in one simulated clock: bounds on what feed servers get from all of them together. */
class FleetTest {
    private static final int RELAYS = 14;
    private static final long STEP = 100_000;
    private static final BalancerSettings SET = Rig.settings().build();
    /** Usual connections that fill a server, by what the platform's file states. */
    private static final double FILLS =
            Rig.PLATFORM.others().workPerRating() / Rig.PLATFORM.others().defaultConnectionLoad();

    private final List<Rig> relays = new ArrayList<>();
    private final Random chance = new Random(17);
    private final Map<String, List<Long>> sent = new HashMap<>();
    private int asked;

    private void fleet(int servers) {
        for (int i = 0; i < RELAYS; i++) {
            Rig rig = new Rig(Rig.settings().instances(RELAYS).zone(i % 2).build(), i);
            rig.list(servers, 1);
            relays.add(rig);
        }
    }

    private long now() {
        return relays.get(0).now;
    }

    /** One more step of the clock of all. */
    private void advance() {
        relays.forEach(rig -> rig.advance(STEP));
    }

    /** A client comes to some relay; where it is placed, it stands at once. */
    private void client() {
        client(false);
    }

    private void client(boolean returning) {
        Rig rig = relays.get(chance.nextInt(relays.size()));
        String id = "r" + asked++;
        rig.send(new ConnectRequested(id, 0, 0, "k" + id, null, rig.now + Rig.DEADLINE, 0, false, returning));
        StartAttempt a = rig.attempts.get(id);
        if (a != null) {
            sent.computeIfAbsent(a.serverId(), s -> new ArrayList<>()).add(now());
            rig.send(new ConnectionEstablished(id, 0, a.serverId(), 20_000));
        }
    }

    private static double warmth(long age) {
        return Math.min(
                1,
                SET.slowStartInitialFraction()
                        + (1 - SET.slowStartInitialFraction()) * age / SET.slowStartDurationMicros());
    }

    /** Six in ten servers are replaced within 7 s: by a relay's own arrivals the new ones stood idle until warm. */
    @Test
    void serversReplacedAtOnceAreUsedWhileTheyWarmAndNoneIsFlooded() {
        fleet(60);
        for (int i = 0; i < 50; i++) {
            advance();
            if (i % 5 == 0) {
                client();
            }
        }
        sent.clear();
        Map<String, Long> started = new HashMap<>();
        for (int step = 0; step < 120; step++) {
            advance();
            if (step < 70 && step % 2 == 0) {
                String server = "s" + started.size();
                started.put(server, now());
                relays.forEach(rig -> rig.restart(server));
                sent.remove(server);
            }
            for (int i = 0; i < 4; i++) {
                client(true);
            }
        }
        int cold = 0;
        for (Map.Entry<String, Long> s : started.entrySet()) {
            List<Long> times = sent.getOrDefault(s.getKey(), List.of());
            cold += times.size();
            for (int i = 0; i < times.size(); i++) {
                long from = times.get(i);
                long inWindow = times.stream()
                        .filter(t -> t >= from && t < from + SET.overloadWindowMicros())
                        .count();
                double budget = SET.overloadMultiple()
                        * FILLS
                        / SET.slowStartDurationMicros()
                        * SET.overloadWindowMicros()
                        * warmth(from - s.getValue());
                // a Poisson number of permits around half the budget stays under it and three more
                assertThat((double) inWindow).as(s.getKey()).isLessThanOrEqualTo(budget + 3);
            }
        }
        assertThat(cold).as("of %d placements", 120 * 4).isGreaterThan(150);
    }

    /** All are told in the same moment that a server is quick again: what they held back must not rush there. */
    @Test
    void aServerThatWasLateIsFilledAgainAndNotRushedByAll() {
        fleet(2);
        for (Rig rig : relays) {
            for (String s : List.of("s0", "s1")) {
                rig.send(new ConnectionAdopted(rig.ask("held" + s, "held" + s), s));
                rig.send(new DelayReported("held" + s, 0, s, Rig.MESSAGE * 5));
            }
        }
        advance();
        relays.forEach(rig -> rig.send(new DelayReported("helds0", 0, "s0", Rig.MESSAGE / 5)));
        int offered = 0;
        for (int step = 0; step < 10; step++) {
            advance();
            relays.forEach(rig -> rig.send(new DelayReported("helds1", 0, "s1", Rig.MESSAGE * 5)));
            for (int i = 0; i < 8; i++) {
                client();
                offered++;
            }
        }
        int first = sent.getOrDefault("s0", List.of()).size();
        assertThat(first).as("in the first second, of %d", offered).isLessThan((int) Math.round(FILLS));
        for (int step = 0; step < 140; step++) {
            advance();
            client();
        }
        assertThat(sent.get("s0").size()).as("later").isGreaterThan(first + (int) Math.round(FILLS));
    }

    @Test
    void noConnectionMovesWhileWhatIsPiledUpWorksOff() {
        Rig rig = new Rig(Rig.settings().build(), 4);
        rig.list(3, 1);
        for (int i = 0; i < 40; i++) {
            rig.send(new ConnectionAdopted(rig.ask("c" + i, "c" + i), "s0"));
        }
        int[] moved = new int[6];
        double[] told = {5, 5, 3, 2, 1.9, 1.9};
        for (int second = 0; second < told.length; second++) {
            for (BalancerAction a : rig.send(new DelayReported("c0", 0, "s0", Rig.MESSAGE * told[second]))) {
                moved[second] += a instanceof Migrate ? 1 : 0;
            }
            rig.now += 1_000_000;
        }
        assertThat(moved[1]).as("stays late").isPositive();
        assertThat(moved[2] + moved[3]).as("is below the aim two reports on").isZero();
        assertThat(moved[4] + moved[5]).as("falls too slowly").isPositive();
    }

    /** One relay and two servers: nothing of this may starve a small site. */
    @Test
    void aSmallSiteFillsAServerThatHasJustStarted() {
        relays.add(new Rig(Rig.settings().instances(1).build(), 5));
        Rig rig = relays.get(0);
        rig.list(2, 1);
        rig.phase("s1", EndpointState.DRAINING);
        rig.restart("s0");
        for (int i = 0; i < 80; i++) {
            advance();
            client();
        }
        assertThat(sent.get("s0").size()).as("in 8 s, at the only server").isGreaterThanOrEqualTo(4);
    }
}
