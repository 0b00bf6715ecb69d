package sandstack.measure.configuration;

import java.util.ArrayList;
import java.util.List;

/** A process of the simulated fleet: may be killed, restarted, stopped for a while. One thread. */
public abstract class HollowProcess {
    private final String name;
    private final String region;
    private final Traffic traffic = new Traffic();
    private final List<Runnable> held = new ArrayList<>();
    private boolean running;
    private boolean paused;
    private boolean machineLost;
    private long life;
    private long processorNanos;

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
    public long life() {
        return life;
    }

    /** Time on the processor since the last reset, as far as its work was timed. */
    long processorNanos() {
        return processorNanos;
    }

    void resetCounts() {
        traffic.reset();
        processorNanos = 0;
    }

    /** Starts it with what its disk holds. */
    public void start() {
        running = true;
        paused = false;
        machineLost = false;
        held.clear();
        life++;
        started();
    }

    /**
     * Ends it at once.
     *
     * @param machine whether its machine is lost with it: then nobody hears that its connections are gone
     */
    public void kill(boolean machine) {
        running = false;
        paused = false;
        machineLost = machine;
        held.clear();
        killed();
    }

    /** Stops it; what arrives waits. */
    public void pause() {
        paused = running;
    }

    /** Lets it go on, with all that has arrived meanwhile. */
    public void resume() {
        paused = false;
        List<Runnable> arrived = List.copyOf(held);
        held.clear();
        arrived.forEach(this::work);
    }

    /** Does something in this process, later where it is stopped. */
    void work(Runnable task) {
        if (paused) {
            held.add(task);
        } else if (running) {
            long began = System.nanoTime();
            task.run();
            processorNanos += System.nanoTime() - began;
        }
    }

    abstract void started();

    abstract void killed();
}
