package sandstack.configuration.consensus;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import sandstack.configuration.ConfigurationChange;

/** Runs a cluster under random faults, with clients that propose to any machine and propose some changes again. */
final class RaftFaultSchedule {
    private static final int STEPS = 60;
    private static final int SNAPSHOT_INTERVAL_ENTRIES = 15;
    private static final int MAX_STEP_MILLIS = 2_500;
    private static final Duration RECOVERY_TIME = Duration.ofSeconds(16);

    /** A change that a client proposes, with its attempts. */
    private record ClientChange(ConfigurationChange change, List<SimulatedCluster.Attempt> attempts) {}

    final SimulatedCluster cluster;
    private final SplittableRandom random;
    private final List<ClientChange> clientChanges = new ArrayList<>();
    int faults;

    RaftFaultSchedule(long seed) {
        random = new SplittableRandom(seed);
        cluster = new SimulatedCluster(random.nextBoolean() ? 5 : 7, random.nextLong(), SNAPSHOT_INTERVAL_ENTRIES);
        cluster.network.lossRatio = random.nextInt(3) == 0 ? 0.05 : 0;
    }

    /** Runs the schedule, ends all faults and returns the violations. */
    List<String> run() {
        cluster.startAll();
        cluster.runFor(Duration.ofSeconds(3));
        for (int step = 0; step < STEPS; step++) {
            proposeChanges();
            injectRandomFault();
            cluster.runFor(Duration.ofMillis(random.nextInt(MAX_STEP_MILLIS)));
        }
        return cluster.recoverAndCheck(RECOVERY_TIME);
    }

    private void proposeChanges() {
        for (int i = random.nextInt(4); i > 0; i--) {
            SimulatedMachine machine = randomElement(cluster.machines);
            // at least three in four proposals are sent to the leader, if there is one
            if (random.nextInt(4) != 0) {
                machine = cluster.leader().orElse(machine);
            }
            if (!machine.isUp()) {
                continue;
            }
            ClientChange next = random.nextInt(4) == 0 && !clientChanges.isEmpty()
                    ? randomElement(clientChanges)
                    : newClientChange(machine);
            next.attempts().add(cluster.propose(machine, next.change()));
        }
    }

    private ClientChange newClientChange(SimulatedMachine machine) {
        ClientChange change =
                new ClientChange(cluster.randomChange(machine.node.current().version()), new ArrayList<>());
        clientChanges.add(change);
        return change;
    }

    private void injectRandomFault() {
        SimulatedMachine machine = randomElement(cluster.machines);
        SimulatedMachine victim = random.nextInt(3) == 0 ? cluster.leader().orElse(machine) : machine;
        switch (random.nextInt(9)) {
            case 0 -> kill(victim);
            case 1 -> pause(victim);
            case 2 -> cutOneWay(victim);
            case 3 -> {
                cluster.cutRegions();
                faults++;
            }
            case 4, 5 -> cluster.network.heal();
            case 6 -> cluster.machines.stream().filter(other -> !other.isUp()).forEach(cluster::start);
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
        boolean cutsIncoming = random.nextBoolean();
        for (SimulatedMachine other : cluster.machines) {
            cluster.network.cut(
                    cutsIncoming ? other.identity : victim.identity, cutsIncoming ? victim.identity : other.identity);
        }
        faults++;
    }

    /** Returns the attempt that took longest among those with an outcome. */
    Optional<SimulatedCluster.Attempt> slowestAttempt() {
        return clientChanges.stream()
                .flatMap(change -> change.attempts().stream())
                .filter(attempt -> attempt.outcome != null)
                .max((a, b) -> Long.compare(a.latencyMillis(), b.latencyMillis()));
    }

    private <T> T randomElement(List<T> list) {
        return list.get(random.nextInt(list.size()));
    }
}
