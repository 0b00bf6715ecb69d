package sandstack.measure.scale;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Counts of the objects and entries that are reachable from one object. */
class ReachableObjectsTest {
    /** An object with references to others; not private, because some fields are read only by reflection. */
    static class Node {
        final List<Object> next = new ArrayList<>();
        final Map<String, Object> byName = new java.util.HashMap<>();
        Node[] array = new Node[0];
        int number = 7;
    }

    /** An object with references in fields of its superclass. */
    static final class Leaf extends Node {
        final Effort effort = Effort.ONE;
    }

    /** An enum, whose constants are not counted. */
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
    void handlesCycles() {
        Node one = new Node();
        Node other = new Node();
        one.next.add(other);
        other.next.add(one);

        assertThat(ReachableObjects.countFrom(one)).isEqualTo(new ReachableObjects.Count(2, 2));
    }

    @Test
    void followsFieldsOfSuperclassesButNotEnums() {
        Leaf leaf = new Leaf();
        leaf.next.add(new Node());

        assertThat(ReachableObjects.countFrom(leaf)).isEqualTo(new ReachableObjects.Count(2, 1));
    }
}
