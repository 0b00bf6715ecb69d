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
 * Counts the state that is reachable from one object: objects of this program's classes, which are followed through
 * their fields, and entries of maps, collections and object arrays. Unlike a size in bytes, the count is the same on
 * every machine. Other objects of the class library, such as strings, are not counted, nor are enum constants and
 * lambdas. Takes time and memory linear in the count.
 */
final class ReachableObjects {
    private static final String OWN_PACKAGE_PREFIX = "sandstack.";

    private final Set<Object> visited = Collections.newSetFromMap(new IdentityHashMap<>());
    private final Deque<Object> pending = new ArrayDeque<>();
    private long objects;
    private long entries;

    private ReachableObjects() {}

    /**
     * Result of a traversal.
     *
     * @param objects of this program's classes, including the root
     * @param entries of maps, collections and arrays
     */
    record Count(long objects, long entries) {}

    /** Counts the objects that are reachable from a root. */
    static Count countFrom(Object root) {
        ReachableObjects counter = new ReachableObjects();
        counter.enqueue(root);
        while (!counter.pending.isEmpty()) {
            counter.visit(counter.pending.pop());
        }
        return new Count(counter.objects, counter.entries);
    }

    private void enqueue(Object object) {
        if (object != null && isTraversed(object) && visited.add(object)) {
            pending.push(object);
        }
    }

    private static boolean isTraversed(Object object) {
        return object instanceof Map || object instanceof Collection || object instanceof Object[] || isOwnType(object);
    }

    private static boolean isOwnType(Object object) {
        Class<?> type = object.getClass();
        return type.getName().startsWith(OWN_PACKAGE_PREFIX) && !type.isHidden() && !(object instanceof Enum);
    }

    private void visit(Object object) {
        if (object instanceof Map<?, ?> map) {
            entries += map.size();
            map.forEach((key, value) -> {
                enqueue(key);
                enqueue(value);
            });
        } else if (object instanceof Collection<?> collection) {
            entries += collection.size();
            collection.forEach(this::enqueue);
        } else if (object instanceof Object[] array) {
            entries += Array.getLength(array);
            for (Object element : array) {
                enqueue(element);
            }
        } else {
            objects++;
            for (Class<?> type = object.getClass(); type != Object.class; type = type.getSuperclass()) {
                visitFields(type, object);
            }
        }
    }

    private void visitFields(Class<?> type, Object object) {
        for (Field field : type.getDeclaredFields()) {
            if (Modifier.isStatic(field.getModifiers()) || field.getType().isPrimitive()) {
                continue;
            }
            field.setAccessible(true);
            try {
                enqueue(field.get(object));
            } catch (IllegalAccessException e) {
                throw new IllegalStateException("an accessible field cannot be read: " + field, e);
            }
        }
    }
}
