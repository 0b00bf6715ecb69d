package sandstack.measure.scale;

/** Growth of a cost with size, {@code base + slope * basis(size)}; ordered by complexity, which model selection uses. */
public enum Shape {
    /** The same at every size. */
    CONSTANT {
        @Override
        public double basis(double size) {
            return 0;
        }
    },
    /** Grows with the natural logarithm of the size; sizes below one count as one. */
    LOGARITHMIC {
        @Override
        public double basis(double size) {
            return Math.log(Math.max(size, 1));
        }
    },
    /** Grows with the size. */
    LINEAR {
        @Override
        public double basis(double size) {
            return size;
        }
    },
    /** Grows with the size times its natural logarithm. */
    N_LOG_N {
        @Override
        public double basis(double size) {
            return size * LOGARITHMIC.basis(size);
        }
    },
    /** Grows with the square of the size. */
    SQUARE {
        @Override
        public double basis(double size) {
            return size * size;
        }
    };

    /** The factor of the slope at a size. */
    public abstract double basis(double size);
}
