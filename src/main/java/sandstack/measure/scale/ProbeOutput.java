package sandstack.measure.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sandstack.measure.scale.Series.Point;

/** What a probe in a process of its own prints: a line for each point, with the name of its curve, its size and value. */
final class ProbeOutput {
    private final Map<String, List<Point>> curves = new LinkedHashMap<>();

    /** Prints one point. */
    static void print(String curve, double size, double value) {
        System.out.println(curve + " " + size + " " + value);
    }

    /** Reads what was printed. */
    static ProbeOutput read(List<String> lines) {
        ProbeOutput output = new ProbeOutput();
        for (String line : lines) {
            String[] fields = line.split(" ");
            Point point = new Point(Double.parseDouble(fields[1]), Double.parseDouble(fields[2]));
            output.curves.computeIfAbsent(fields[0], name -> new ArrayList<>()).add(point);
        }
        return output;
    }

    /**
     * The points of this curve.
     *
     * @throws IllegalStateException where there are none
     */
    List<Point> points(String curve) {
        List<Point> points = curves.get(curve);
        if (points == null) {
            throw new IllegalStateException("the probe printed no " + curve);
        }
        return points;
    }
}
