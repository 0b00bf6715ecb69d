package sandstack.measure.scale;

/** How a cost grows with size, from the simplest shape to the most complex one: {@code base + slope * basis(size)}. */
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

    /** What the slope is multiplied by at a size. */
    public abstract double basis(double size);
}
