package sandstack.measure.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sandstack.measure.scale.Series.Point;

/** Output of a probe process: one line per point with the name of its curve, its size and its value. */
final class ProbeOutput {
    private final Map<String, List<Point>> curves = new LinkedHashMap<>();

    /** Prints one point. */
    static void print(String curve, double size, double value) {
        System.out.println(curve + " " + size + " " + value);
    }

    /** Parses lines of {@link #print}. */
    static ProbeOutput read(List<String> lines) {
        ProbeOutput output = new ProbeOutput();
        for (String line : lines) {
            String[] fields = line.split(" ", 0);
            Point point = new Point(Double.parseDouble(fields[1]), Double.parseDouble(fields[2]));
            output.curves.computeIfAbsent(fields[0], name -> new ArrayList<>()).add(point);
        }
        return output;
    }

    /**
     * The points of a curve.
     *
     * @throws IllegalStateException if there are none
     */
    List<Point> points(String curve) {
        List<Point> points = curves.get(curve);
        if (points == null) {
            throw new IllegalStateException("the probe printed no points of curve " + curve);
        }
        return points;
    }
}
