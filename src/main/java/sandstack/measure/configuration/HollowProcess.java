package sandstack.measure.configuration;

import java.util.ArrayList;
import java.util.List;

/** A simulated process on its own machine; it can be killed, restarted and paused. Not thread-safe. */
public abstract class HollowProcess {
    private final String name;
    private final String region;
    private final ProcessTraffic traffic = new ProcessTraffic();
    private final List<Runnable> deferredTasks = new ArrayList<>();
    private boolean running;
    private boolean paused;
    private boolean machineLost;
    private long incarnation;
    private long busyNanos;

    HollowProcess(String name, String region) {
        this.name = name;
        this.region = region;
    }

    /** The name, unique in the fleet. */
    public String name() {
        return name;
    }

    /** The name of the region. */
    public String region() {
        return region;
    }

    /** Counters of sent and received messages. */
    public ProcessTraffic traffic() {
        return traffic;
    }

    /** Whether the process is running; also true while it is paused. */
    public boolean isRunning() {
        return running;
    }

    /** Whether the process is paused, so that its tasks are deferred. */
    public boolean isPaused() {
        return paused;
    }

    /**
     * Whether the process was killed together with its machine, so that peers are not notified of closed connections.
     */
    boolean isMachineLost() {
        return machineLost;
    }

    /** Number of times that the process has been started. */
    public long incarnation() {
        return incarnation;
    }

    /** Wall-clock time that tasks of the process took since the last reset, in nanoseconds. */
    long busyNanos() {
        return busyNanos;
    }

    void resetCounters() {
        traffic.reset();
        busyNanos = 0;
    }

    /** Starts the process with the state on its disk. */
    public void start() {
        running = true;
        paused = false;
        machineLost = false;
        deferredTasks.clear();
        incarnation++;
        onStarted();
    }

    /**
     * Kills the process and drops its deferred tasks.
     *
     * @param withMachine whether its machine is lost too, so that peers are not notified of closed connections
     */
    public void kill(boolean withMachine) {
        running = false;
        paused = false;
        machineLost = withMachine;
        deferredTasks.clear();
        onKilled();
    }

    /** Pauses the process, if it is running; tasks are deferred. */
    public void pause() {
        paused = running;
    }

    /** Resumes the process and runs the deferred tasks. */
    public void resume() {
        paused = false;
        List<Runnable> tasks = List.copyOf(deferredTasks);
        deferredTasks.clear();
        tasks.forEach(this::execute);
    }

    /** Runs a task of this process, deferred while it is paused, dropped while it is not running. */
    void execute(Runnable task) {
        if (paused) {
            deferredTasks.add(task);
        } else if (running) {
            long startNanos = System.nanoTime();
            task.run();
            busyNanos += System.nanoTime() - startNanos;
        }
    }

    /** Called after a start. */
    abstract void onStarted();

    /** Called after a kill. */
    abstract void onKilled();
}
