package sandstack.measure.configuration;

import java.util.ArrayList;
import java.util.List;

/** A process of the simulated fleet: may be killed, restarted, stopped for a while. One thread. */
public abstract class HollowProcess {
    private final String name;
    private final String region;
    private final Traffic traffic = new Traffic();
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

    /** Its name in the fleet. */
    public String name() {
        return name;
    }

    /** The region that its machine is in. */
    public String region() {
        return region;
    }

    /** What it has sent and received. */
    public Traffic traffic() {
        return traffic;
    }

    /** Whether it runs, stopped for a while or not. */
    public boolean isRunning() {
        return running;
    }

    /** Whether it is stopped for a while. */
    public boolean isPaused() {
        return paused;
    }

    /** Whether nothing answers for it, as its whole machine is gone. */
    boolean isMachineLost() {
        return machineLost;
    }

    /** Counts its starts. */
    public long incarnation() {
        return incarnation;
    }

    /** Time on the processor since the last reset, as far as its work was timed. */
    long busyNanos() {
        return busyNanos;
    }

    void resetCounters() {
        traffic.reset();
        busyNanos = 0;
    }

    /** Starts it with what its disk holds. */
    public void start() {
        running = true;
        paused = false;
        machineLost = false;
        deferredTasks.clear();
        incarnation++;
        onStarted();
    }

    /**
     * Ends it at once.
     *
     * @param withMachine whether its machine is lost with it: then nobody hears that its connections are gone
     */
    public void kill(boolean withMachine) {
        running = false;
        paused = false;
        machineLost = withMachine;
        deferredTasks.clear();
        onKilled();
    }

    /** Stops it; what arrives waits. */
    public void pause() {
        paused = running;
    }

    /** Lets it go on, with all that has arrived meanwhile. */
    public void resume() {
        paused = false;
        List<Runnable> tasks = List.copyOf(deferredTasks);
        deferredTasks.clear();
        tasks.forEach(this::execute);
    }

    /** Does something in this process, later where it is stopped. */
    void execute(Runnable task) {
        if (paused) {
            deferredTasks.add(task);
        } else if (running) {
            long startNanos = System.nanoTime();
            task.run();
            busyNanos += System.nanoTime() - startNanos;
        }
    }

    abstract void onStarted();

    abstract void onKilled();
}
