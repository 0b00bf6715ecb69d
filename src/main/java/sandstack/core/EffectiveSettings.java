package sandstack.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import sandstack.decisions.BalancerSettings;
import sandstack.decisions.RequestClass;
import sandstack.settings.BalancerSettingsBuilder;

/**
 * The settings that apply to the requests that come now, and the names of their classes. Immutable; a reload replaces
 * the complete value. A class keeps its position for the life of the process, as state is kept by position: one that is
 * removed keeps its last settings there, for the requests in flight, and is not offered.
 *
 * @param settings of all classes, removed ones included
 * @param classNames names of the classes, in the settings' order
 * @param offeredClasses the classes that a request may name
 * @param delaysReported whether feed servers report how long a message takes
 */
public record EffectiveSettings(
        BalancerSettings settings, List<String> classNames, Set<String> offeredClasses, boolean delaysReported) {
    /** Limit on the classes over all reloads of one process, as each keeps its memory. */
    public static final int MAX_CLASSES = 256;

    /** Copies the collections. */
    public EffectiveSettings {
        classNames = List.copyOf(classNames);
        offeredClasses = Set.copyOf(offeredClasses);
    }

    /** The settings of a start, before any reload. */
    public EffectiveSettings(BalancerSettings settings, List<String> classNames, boolean delaysReported) {
        this(settings, classNames, Set.copyOf(classNames), delaysReported);
    }

    /** Settings whose classes are named by their positions. */
    static EffectiveSettings numbered(BalancerSettings settings) {
        return new EffectiveSettings(
                settings,
                IntStream.range(0, settings.classes().size())
                        .mapToObj(Integer::toString)
                        .toList(),
                true);
    }

    /** The position of a class that a request may name; -1 for any other name. */
    public int indexOf(String name) {
        return name != null && offeredClasses.contains(name) ? classNames.indexOf(name) : -1;
    }

    /**
     * The next settings with the classes of these at their positions.
     *
     * @throws IllegalArgumentException where there are more than {@value #MAX_CLASSES} classes over all reloads
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
