package sandstack.capacity;

import java.util.Arrays;
import java.util.function.IntToDoubleFunction;

/**
 * The mean load of each request class, from the reports of its connections, and the fraction of each class that is shed
 * while the servers are overloaded.
 *
 * <p>Loads are microseconds of work per second. Owned by the load balancer; used by one thread;
 * {@link #updateShedFractions} is O(classes squared), {@link #resize} and {@link #clearEstablishedLoads} are
 * O(classes), and the other calls are O(1).
 */
public final class ClassLoads {
    /** Weight of one report in the moving average of its class. */
    private static final double REPORT_WEIGHT = 0.05;

    private double[] meanLoads = new double[0];
    /** Sum of the loads of the established connections, by class. */
    private double[] establishedLoads = meanLoads;

    private double[] shedFractions = meanLoads;

    /** Sets the number of classes; classes that remain keep their values. */
    public void resize(int classCount) {
        meanLoads = Arrays.copyOf(meanLoads, classCount);
        establishedLoads = Arrays.copyOf(establishedLoads, classCount);
        shedFractions = Arrays.copyOf(shedFractions, classCount);
    }

    /** Adds a reported load to the moving average of its class, which starts with the first report. */
    public void onLoadReported(int classIndex, double load) {
        double weight = meanLoads[classIndex] == 0 ? 1 : REPORT_WEIGHT;
        meanLoads[classIndex] += (load - meanLoads[classIndex]) * weight;
    }

    /** The mean load of a connection of this class; 0 if none was reported. */
    public double meanLoad(int classIndex) {
        return meanLoads[classIndex];
    }

    /** Clears the sums of the loads of established connections. */
    public void clearEstablishedLoads() {
        Arrays.fill(establishedLoads, 0);
    }

    /** Adds the load of one established connection to the sum of its class. */
    public void addEstablishedLoad(int classIndex, double load) {
        establishedLoads[classIndex] += load;
    }

    /**
     * Computes the fraction that each class sheds, so that the classes together shed {@code shedFraction} of the load
     * of the established connections. Classes with the lowest priority weight per unit of load shed first.
     *
     * @param priorityWeight priority weight of a class, by class index
     * @param weightPerUnitOfWork whether priority weights count per unit of work, rather than per request
     */
    public void updateShedFractions(
            double shedFraction, IntToDoubleFunction priorityWeight, boolean weightPerUnitOfWork) {
        double[] density = new double[establishedLoads.length];
        for (int classIndex = 0; classIndex < density.length; classIndex++) {
            double weight = priorityWeight.applyAsDouble(classIndex);
            boolean weightIsDensity = weightPerUnitOfWork || meanLoads[classIndex] <= 0;
            density[classIndex] = weightIsDensity ? weight : weight / meanLoads[classIndex];
        }
        shedFractions = SheddingPlan.shedLeastDenseFirst(shedFraction, establishedLoads, density);
    }

    /** The fraction of this class to shed, as computed by the last call of {@link #updateShedFractions}. */
    public double shedFraction(int classIndex) {
        return shedFractions[classIndex];
    }
}
