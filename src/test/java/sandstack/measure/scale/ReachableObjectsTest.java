package sandstack.measure.scale;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Objects that can be reached from one, counted by class. */
class ReachableObjectsTest {
    /** Something of this program that holds others; not private, as some fields are read by reflection only. */
    static class Node {
        final List<Object> next = new ArrayList<>();
        final Map<String, Object> byName = new java.util.HashMap<>();
        Node[] array = new Node[0];
        int number = 7;
    }

    /** The field of its superclass counts too. */
    static final class Leaf extends Node {
        final Effort effort = Effort.ONE;
    }

    /** A constant, which belongs to no object. */
    private enum Effort {
        ONE
    }

    @Test
    void countsObjectsOnceAndEntriesOfAllContainers() {
        Node root = new Node();
        Node shared = new Node();
        root.next.add(shared);
        root.byName.put("shared", shared);
        root.byName.put("text", "text");
        root.array = new Node[] {shared, null};

        assertThat(ReachableObjects.countFrom(root)).isEqualTo(new ReachableObjects.Count(2, 1 + 2 + 2));
    }

    @Test
    void followsCircles() {
        Node one = new Node();
        Node other = new Node();
        one.next.add(other);
        other.next.add(one);

        assertThat(ReachableObjects.countFrom(one)).isEqualTo(new ReachableObjects.Count(2, 2));
    }

    @Test
    void looksAtFieldsOfSuperclassesAndNotAtEnums() {
        Leaf leaf = new Leaf();
        leaf.next.add(new Node());

        assertThat(ReachableObjects.countFrom(leaf)).isEqualTo(new ReachableObjects.Count(2, 1));
    }
}
