package sandstack.configuration.consensus;

import io.microraft.RaftEndpoint;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.message.RaftMessage;
import io.microraft.transport.Transport;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import sandstack.configuration.AgreedChange;
import sandstack.configuration.AgreedChangeListener;
import sandstack.configuration.ChangeValidator;
import sandstack.configuration.ConfigurationCheck;
import sandstack.configuration.ConfigurationLimits;
import sandstack.configuration.ConfigurationSnapshot;

/** One control machine in simulated time: it can be killed, paused and started again over its disk. */
final class SimulatedMachine {
    static final ChangeValidator VALIDATOR = new ChangeValidator(ConfigurationLimits.DEFAULT, ConfigurationCheck.NONE);

    /** Makes the state machine; tests plant faults here. */
    interface StateMachines {
        ConfigurationStateMachine create(
                ChangeValidator validator, AgreedChangeListener listener, LongSupplier leaderTerm);
    }

    /** Where a machine finds its store at each start, and how a kill leaves it. */
    interface Stores {
        EncodedRaftStore open() throws IOException;

        void crash(EncodedRaftStore store);
    }

    final ControlIdentity identity;
    final int region;
    final SimulatedDisk disk;
    /** What the node remembers by; the simulated disk, unless a test has another. */
    Stores stores;

    private EncodedRaftStore store;
    private final SimulatedCluster cluster;
    private final List<Runnable> held = new ArrayList<>();
    private int life;
    private boolean up;
    private boolean paused;
    StateMachines stateMachines = ConfigurationStateMachine::new;
    ControlNode node;

    SimulatedMachine(SimulatedCluster cluster, ControlIdentity identity, int region) {
        this.cluster = cluster;
        this.identity = identity;
        this.region = region;
        this.disk = new SimulatedDisk(identity.identity());
        this.stores = new Stores() {
            @Override
            public EncodedRaftStore open() {
                return disk;
            }

            @Override
            public void crash(EncodedRaftStore store) {
                disk.crash();
            }
        };
        cluster.network.attach(identity, region, this::receive);
    }

    boolean isUp() {
        return up;
    }

    boolean isWorking() {
        return up && !paused;
    }

    void start(ControlNodeSettings settings) {
        life++;
        up = true;
        paused = false;
        held.clear();
        try {
            store = stores.open();
            ControlNodeEnvironment environment = new ControlNodeEnvironment(
                    executor(), transport(), store, cluster.time.clock(), new Random(cluster.random.nextLong()));
            AgreedChangeListener listener = listener(cluster.checker.new Life(identity));
            node = new ControlNode(
                    settings, environment, VALIDATOR, term -> stateMachines.create(VALIDATOR, listener, term));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        node.start();
    }

    void kill() {
        life++;
        up = false;
        held.clear();
        stores.crash(store);
    }

    /** Whether the disk has this change; of a real file, whether it was written, as a flush is not told from here. */
    boolean holds(AgreedChange change) {
        return store == null || store == disk ? disk.holds(change) : up && SimulatedDisk.holds(store, change);
    }

    void pause() {
        paused = true;
    }

    void resume() {
        paused = false;
        List<Runnable> waiting = List.copyOf(held);
        held.clear();
        waiting.forEach(task -> cluster.time.after(0, task));
    }

    private void receive(RaftMessage message) {
        int now = life;
        inLife(now, () -> node.handle(message)).run();
    }

    private RaftNodeExecutor executor() {
        int now = life;
        return new RaftNodeExecutor() {
            @Override
            public void execute(Runnable task) {
                cluster.time.after(0, inLife(now, task));
            }

            @Override
            public void submit(Runnable task) {
                cluster.time.after(0, inLife(now, task));
            }

            @Override
            public void schedule(Runnable task, long delay, TimeUnit unit) {
                cluster.time.after(unit.toMicros(delay), inLife(now, task));
            }
        };
    }

    /** A task of one life: gone with it, held while paused. */
    private Runnable inLife(int taskLife, Runnable task) {
        return () -> {
            if (!up || taskLife != life) {
                return;
            }
            if (paused) {
                held.add(inLife(taskLife, task));
                return;
            }
            task.run();
        };
    }

    private Transport transport() {
        int now = life;
        return new Transport() {
            @Override
            public void send(RaftEndpoint target, RaftMessage message) {
                if (now == life) {
                    cluster.network.send(identity, (ControlIdentity) target, message);
                }
            }

            @Override
            public boolean isReachable(RaftEndpoint endpoint) {
                return true;
            }
        };
    }

    private AgreedChangeListener listener(AgreementChecker.Life watching) {
        return new AgreedChangeListener() {
            @Override
            public void agreed(AgreedChange change) {
                watching.agreed(change, () -> cluster.majorityHolds(change));
            }

            @Override
            public void restored(ConfigurationSnapshot snapshot) {
                watching.restored(snapshot);
            }
        };
    }
}
