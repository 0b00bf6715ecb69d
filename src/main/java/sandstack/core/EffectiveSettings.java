package sandstack.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import sandstack.decisions.BalancerSettings;
import sandstack.decisions.RequestClass;
import sandstack.settings.BalancerSettingsBuilder;

/**
 * The settings in force, and the names of the request classes. Immutable; a reload replaces the complete value. A class
 * keeps its position until the process ends, because other state is indexed by it. A class that a reload removes stays
 * at its position with its last settings, for the requests in flight, but is no longer offered: a new request that
 * names it is rejected as malformed.
 *
 * @param settings the load balancer's settings, those of removed classes included
 * @param classNames names of the classes, in the order of {@code settings.classes()}
 * @param offeredClasses names of the classes that a new request may use
 * @param delaysReported whether feed servers report their delay per message
 */
public record EffectiveSettings(
        BalancerSettings settings, List<String> classNames, Set<String> offeredClasses, boolean delaysReported) {
    /** Limit on the number of class names over all reloads of one process, because removed classes are never freed. */
    public static final int MAX_CLASSES = 256;

    /** Takes immutable copies of the collections. */
    public EffectiveSettings {
        classNames = List.copyOf(classNames);
        offeredClasses = Set.copyOf(offeredClasses);
    }

    /** Creates the settings at the start of the process, where all classes are offered. */
    public EffectiveSettings(BalancerSettings settings, List<String> classNames, boolean delaysReported) {
        this(settings, classNames, Set.copyOf(classNames), delaysReported);
    }

    /** Creates settings in which the name of each class is its position as a decimal number. */
    static EffectiveSettings numbered(BalancerSettings settings) {
        return new EffectiveSettings(
                settings,
                IntStream.range(0, settings.classes().size())
                        .mapToObj(Integer::toString)
                        .toList(),
                true);
    }

    /** The position of an offered class; -1 for null and for any other name. */
    public int indexOf(String name) {
        return name != null && offeredClasses.contains(name) ? classNames.indexOf(name) : -1;
    }

    /**
     * Returns {@code next} with the classes reordered: those of this object keep their positions, removed ones
     * included, and new ones follow.
     *
     * @throws IllegalArgumentException if there are more than {@value #MAX_CLASSES} classes over all reloads
     */
    public EffectiveSettings mergedWith(EffectiveSettings next) {
        List<String> mergedNames = new ArrayList<>(classNames);
        List<RequestClass> requestClasses = new ArrayList<>(settings.classes());
        for (int i = 0; i < next.classNames.size(); i++) {
            int position = mergedNames.indexOf(next.classNames.get(i));
            if (position < 0) {
                mergedNames.add(next.classNames.get(i));
                requestClasses.add(next.settings.classes().get(i));
            } else {
                requestClasses.set(position, next.settings.classes().get(i));
            }
        }
        if (mergedNames.size() > MAX_CLASSES) {
            throw new IllegalArgumentException(
                    "setting classes has more than " + MAX_CLASSES + " names over all reloads");
        }
        BalancerSettings mergedSettings = BalancerSettingsBuilder.from(next.settings)
                .forRelayOf(settings)
                .classes(requestClasses)
                .build();
        return new EffectiveSettings(mergedSettings, mergedNames, next.offeredClasses, next.delaysReported);
    }
}
