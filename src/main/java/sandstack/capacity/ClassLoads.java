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
    private static final double TOLD = 0.05;

    private double[] mean = new double[0];
    private double[] held = mean;
    private double[] shed = mean;

    /** So many classes there are now; those before keep what is known of them. */
    public void classesAre(int count) {
        mean = Arrays.copyOf(mean, count);
        held = Arrays.copyOf(held, count);
        shed = Arrays.copyOf(shed, count);
    }

    /** A connection of class {@code c} told its load. */
    public void told(int c, double load) {
        mean[c] += (load - mean[c]) * (mean[c] == 0 ? 1 : TOLD);
    }

    /** The mean load of a class; 0 where none was told. */
    public double of(int c) {
        return mean[c];
    }

    /** Counts what is held anew. */
    public void clear() {
        Arrays.fill(held, 0);
    }

    /** Adds one load to what class {@code c} holds, since {@link #clear}. */
    public void holds(int c, double load) {
        held[c] += load;
    }

    /**
     * Settles what each class gives so that this part of all load goes, least worth for its load first.
     *
     * @param byWork worth is counted per unit of work already
     */
    public void shed(double part, IntToDoubleFunction worth, boolean byWork) {
        double[] density = new double[held.length];
        Arrays.setAll(density, c -> byWork || mean[c] <= 0 ? worth.applyAsDouble(c) : worth.applyAsDouble(c) / mean[c]);
        shed = Shares.leastFirst(part, held, density);
    }

    /** The part that this class gives, as last settled. */
    public double gives(int c) {
        return shed[c];
    }
}
