package sandstack.capacity;

import java.util.Arrays;
import java.util.function.IntToDoubleFunction;

/**
 * The loads of the classes, as connections of one relay tell them, and what each class gives where a part of all load
 * has to go. Loads are microseconds of work a second. Owned by the decision module; one thread; O(1), a plan O(classes
 * squared).
 */
public final class ClassLoads {
    /** What one more told load weighs in its class's mean. */
    private static final double REPORT_WEIGHT = 0.05;

    private double[] meanLoads = new double[0];
    private double[] heldLoads = meanLoads;
    private double[] shed = meanLoads;

    /** So many classes there are now; those before keep what is known of them. */
    public void resize(int count) {
        meanLoads = Arrays.copyOf(meanLoads, count);
        heldLoads = Arrays.copyOf(heldLoads, count);
        shed = Arrays.copyOf(shed, count);
    }

    /** A connection of class {@code c} told its load. */
    public void onLoadReported(int classIndex, double load) {
        meanLoads[classIndex] += (load - meanLoads[classIndex]) * (meanLoads[classIndex] == 0 ? 1 : REPORT_WEIGHT);
    }

    /** The mean load of a class; 0 where none was told. */
    public double meanLoad(int classIndex) {
        return meanLoads[classIndex];
    }

    /** Counts what is held anew. */
    public void clearHeld() {
        Arrays.fill(heldLoads, 0);
    }

    /** Adds one load to what class {@code c} holds, since {@link #clearHeld}. */
    public void addHeld(int classIndex, double load) {
        heldLoads[classIndex] += load;
    }

    /**
     * Settles what each class gives so that this part of all load goes, least worth for its load first.
     *
     * @param weightPerUnitOfWork worth is counted per unit of work already
     */
    public void shed(double shedFraction, IntToDoubleFunction priorityWeight, boolean weightPerUnitOfWork) {
        double[] density = new double[heldLoads.length];
        Arrays.setAll(
                density,
                classIndex -> weightPerUnitOfWork || meanLoads[classIndex] <= 0
                        ? priorityWeight.applyAsDouble(classIndex)
                        : priorityWeight.applyAsDouble(classIndex) / meanLoads[classIndex]);
        shed = SheddingPlan.shedLeastDenseFirst(shedFraction, heldLoads, density);
    }

    /** The part that this class gives, as last settled. */
    public double shedFraction(int classIndex) {
        return shed[classIndex];
    }
}
