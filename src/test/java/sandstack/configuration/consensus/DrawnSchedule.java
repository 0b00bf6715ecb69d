package sandstack.configuration.consensus;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import sandstack.configuration.ConfigurationChange;

/** A cluster under drawn faults, and clients that ask whoever is up and repeat what stayed open. */
final class DrawnSchedule {
    private static final int STEPS = 60;
    private static final int SNAPSHOT_EVERY = 15;
    private static final int MOST_STEP_MILLIS = 2_500;
    private static final Duration SETTLING = Duration.ofSeconds(16);

    /** A change that a client wants, with the attempts that it made. */
    private record Wanted(ConfigurationChange change, List<SimulatedCluster.Attempt> attempts) {}

    final SimulatedCluster cluster;
    private final SplittableRandom random;
    private final List<Wanted> wanted = new ArrayList<>();
    int faults;

    DrawnSchedule(long seed) {
        random = new SplittableRandom(seed);
        cluster = new SimulatedCluster(random.nextBoolean() ? 5 : 7, random.nextLong(), SNAPSHOT_EVERY);
        cluster.network.lossShare = random.nextInt(3) == 0 ? 0.05 : 0;
    }

    /** Plays it and tells the breaches. */
    List<String> play() {
        cluster.startAll();
        cluster.runFor(Duration.ofSeconds(3));
        for (int step = 0; step < STEPS; step++) {
            clientsAsk();
            drawFault();
            cluster.runFor(Duration.ofMillis(random.nextInt(MOST_STEP_MILLIS)));
        }
        return cluster.settleAndCheck(SETTLING);
    }

    private void clientsAsk() {
        for (int i = random.nextInt(4); i > 0; i--) {
            SimulatedMachine asked = draw(cluster.machines);
            // most clients know who leads
            if (random.nextInt(4) != 0) {
                asked = cluster.leader().orElse(asked);
            }
            if (!asked.isUp()) {
                continue;
            }
            Wanted next = random.nextInt(4) == 0 && !wanted.isEmpty() ? draw(wanted) : newWish(asked);
            next.attempts().add(cluster.propose(asked, next.change()));
        }
    }

    private Wanted newWish(SimulatedMachine asked) {
        Wanted wish = new Wanted(cluster.drawChange(asked.node.current().version()), new ArrayList<>());
        wanted.add(wish);
        return wish;
    }

    private void drawFault() {
        SimulatedMachine one = draw(cluster.machines);
        SimulatedMachine victim = random.nextInt(3) == 0 ? cluster.leader().orElse(one) : one;
        switch (random.nextInt(9)) {
            case 0 -> kill(victim);
            case 1 -> pause(victim);
            case 2 -> cutOneWay(victim);
            case 3 -> {
                cluster.cutRegions();
                faults++;
            }
            case 4, 5 -> cluster.network.heal();
            case 6 -> cluster.machines.stream()
                    .filter(machine -> !machine.isUp())
                    .forEach(cluster::start);
            case 7 -> cluster.machines.forEach(SimulatedMachine::resume);
            default -> {}
        }
    }

    private void kill(SimulatedMachine victim) {
        if (victim.isUp()) {
            victim.kill();
            faults++;
        }
    }

    private void pause(SimulatedMachine victim) {
        if (victim.isWorking()) {
            victim.pause();
            faults++;
        }
    }

    private void cutOneWay(SimulatedMachine victim) {
        boolean deaf = random.nextBoolean();
        for (SimulatedMachine other : cluster.machines) {
            cluster.network.cut(deaf ? other.identity : victim.identity, deaf ? victim.identity : other.identity);
        }
        faults++;
    }

    /** Attempts that were answered, of all. */
    Optional<SimulatedCluster.Attempt> slowestAnswer() {
        return wanted.stream()
                .flatMap(wish -> wish.attempts().stream())
                .filter(attempt -> attempt.outcome != null)
                .max((a, b) -> Long.compare(a.millis(), b.millis()));
    }

    private <T> T draw(List<T> list) {
        return list.get(random.nextInt(list.size()));
    }
}
