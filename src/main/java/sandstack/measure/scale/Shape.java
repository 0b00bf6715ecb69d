package sandstack.measure.scale;

/**
 * Growth of a cost with size, {@code base + slope * basis(size)}. Model selection penalizes complexity, by which the
 * constants are ordered. They are stored by name in reports and in the cost model file.
 */
public enum Shape {
    /** The same at every size. */
    CONSTANT(0) {
        @Override
        public double basis(double size) {
            return 0;
        }
    },
    /** Grows with the natural logarithm of the size; sizes below one count as one. */
    LOGARITHMIC(1) {
        @Override
        public double basis(double size) {
            return Math.log(Math.max(size, 1));
        }
    },
    /** Grows linearly with the size. */
    LINEAR(2) {
        @Override
        public double basis(double size) {
            return size;
        }
    },
    /** Grows with the size times its natural logarithm. */
    N_LOG_N(3) {
        @Override
        public double basis(double size) {
            return size * LOGARITHMIC.basis(size);
        }
    },
    /** Grows with the square of the size. */
    SQUARE(4) {
        @Override
        public double basis(double size) {
            return size * size;
        }
    };

    private final int complexity;

    Shape(int complexity) {
        this.complexity = complexity;
    }

    /** Number of steps of complexity above {@link #CONSTANT}. */
    int complexity() {
        return complexity;
    }

    /** The term that the slope is multiplied by. */
    public abstract double basis(double size);
}
