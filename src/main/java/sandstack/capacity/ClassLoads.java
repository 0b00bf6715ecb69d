package sandstack.capacity;

import java.util.Arrays;
import java.util.function.IntToDoubleFunction;

/**
 * The mean load of each request class as its connections report it, and the fraction of each class that is shed while
 * the servers are overloaded.
 *
 * <p>Loads are microseconds of work a second. Owned by the load balancer; used by one thread; every call is O(1) but
 * {@link #shed}, which is O(classes squared).
 */
public final class ClassLoads {
    /** Weight of one more report in the moving average of its class. */
    private static final double REPORT_WEIGHT = 0.05;

    private double[] meanLoads = new double[0];
    private double[] heldLoads = meanLoads;
    private double[] shedFractions = meanLoads;

    /** Sets the number of classes; those that remain keep what is known of them. */
    public void resize(int classCount) {
        meanLoads = Arrays.copyOf(meanLoads, classCount);
        heldLoads = Arrays.copyOf(heldLoads, classCount);
        shedFractions = Arrays.copyOf(shedFractions, classCount);
    }

    /** A connection of this class reported its load; the first report is the mean. */
    public void onLoadReported(int classIndex, double load) {
        double weight = meanLoads[classIndex] == 0 ? 1 : REPORT_WEIGHT;
        meanLoads[classIndex] += (load - meanLoads[classIndex]) * weight;
    }

    /** The mean load of a connection of this class; 0 where none was reported. */
    public double meanLoad(int classIndex) {
        return meanLoads[classIndex];
    }

    /** Starts to sum up the loads in use again. */
    public void clearHeld() {
        Arrays.fill(heldLoads, 0);
    }

    /** Adds the load of one connection of this class. */
    public void addHeld(int classIndex, double load) {
        heldLoads[classIndex] += load;
    }

    /**
     * Decides which fraction of each class is shed so that this fraction of the load in use goes, lowest priority for
     * its load first.
     *
     * @param priorityWeight of a class, by its index
     * @param weightPerUnitOfWork whether the weights count per unit of work already, rather than per request
     */
    public void shed(double shedFraction, IntToDoubleFunction priorityWeight, boolean weightPerUnitOfWork) {
        double[] density = new double[heldLoads.length];
        for (int classIndex = 0; classIndex < density.length; classIndex++) {
            double weight = priorityWeight.applyAsDouble(classIndex);
            boolean isDensity = weightPerUnitOfWork || meanLoads[classIndex] <= 0;
            density[classIndex] = isDensity ? weight : weight / meanLoads[classIndex];
        }
        shedFractions = SheddingPlan.shedLeastDenseFirst(shedFraction, heldLoads, density);
    }

    /** The fraction of this class that is shed, by the last call of {@link #shed}. */
    public double shedFraction(int classIndex) {
        return shedFractions[classIndex];
    }
}
