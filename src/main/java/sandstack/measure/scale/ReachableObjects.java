package sandstack.measure.scale;

import java.lang.reflect.Array;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Counts the objects that one object keeps: those of this program, by their fields, and the entries of maps, collections
 * and arrays. The same state gives the same count on every machine, unlike bytes. Values of the class library, such as
 * strings, count as parts of what holds them. Time and memory are linear in the objects.
 */
final class ReachableObjects {
    private static final String OWN = "sandstack.";

    private final Set<Object> seen = Collections.newSetFromMap(new IdentityHashMap<>());
    private final Deque<Object> open = new ArrayDeque<>();
    private long objects;
    private long entries;

    private ReachableObjects() {}

    /**
     * What was counted.
     *
     * @param objects of this program's classes, the first one included
     * @param entries of maps, collections and arrays
     */
    record Count(long objects, long entries) {}

    /** Counts what can be reached from this object. */
    static Count from(Object root) {
        ReachableObjects counter = new ReachableObjects();
        counter.meet(root);
        while (!counter.open.isEmpty()) {
            counter.look(counter.open.pop());
        }
        return new Count(counter.objects, counter.entries);
    }

    private void meet(Object object) {
        if (object != null && holdsOthers(object) && seen.add(object)) {
            open.push(object);
        }
    }

    private static boolean holdsOthers(Object object) {
        return object instanceof Map || object instanceof Collection || object instanceof Object[] || own(object);
    }

    private static boolean own(Object object) {
        Class<?> type = object.getClass();
        return type.getName().startsWith(OWN) && !type.isHidden() && !(object instanceof Enum);
    }

    private void look(Object object) {
        if (object instanceof Map<?, ?> map) {
            entries += map.size();
            map.forEach((key, value) -> {
                meet(key);
                meet(value);
            });
        } else if (object instanceof Collection<?> collection) {
            entries += collection.size();
            collection.forEach(this::meet);
        } else if (object instanceof Object[] array) {
            entries += Array.getLength(array);
            for (Object element : array) {
                meet(element);
            }
        } else {
            objects++;
            for (Class<?> type = object.getClass(); type != Object.class; type = type.getSuperclass()) {
                lookAtFields(type, object);
            }
        }
    }

    private void lookAtFields(Class<?> type, Object object) {
        for (Field field : type.getDeclaredFields()) {
            if (Modifier.isStatic(field.getModifiers()) || field.getType().isPrimitive()) {
                continue;
            }
            field.setAccessible(true);
            try {
                meet(field.get(object));
            } catch (IllegalAccessException e) {
                throw new IllegalStateException("an accessible field cannot be read: " + field, e);
            }
        }
    }
}
