package sandstack.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import sandstack.decisions.BalancerSettings;
import sandstack.decisions.RequestClass;
import sandstack.settings.BalancerSettingsBuilder;

/**
 * What counts for the commands that come now: the settings, and the names of their classes. A value; new ones follow at
 * a reload and are swapped in whole. A class keeps its position for good, so that what counts by position stays right:
 * one that has vanished keeps its last terms there, for the commands under way, and is not offered.
 *
 * @param settings of all classes, vanished ones included
 * @param classNames names of the classes, in the settings' order
 * @param offeredClasses the classes that a command may ask for
 * @param delaysReported whether feed servers tell how long a message takes
 */
public record EffectiveSettings(
        BalancerSettings settings, List<String> classNames, Set<String> offeredClasses, boolean delaysReported) {
    /** Classes that ever were, over all reloads of one process: each costs memory for as long as it runs. */
    public static final int MAX_CLASSES = 256;

    /** Copies the collections. */
    public EffectiveSettings {
        classNames = List.copyOf(classNames);
        offeredClasses = Set.copyOf(offeredClasses);
    }

    /** Terms to start with. */
    public EffectiveSettings(BalancerSettings settings, List<String> classes, boolean delaysTold) {
        this(settings, classes, Set.copyOf(classes), delaysTold);
    }

    /** Terms of classes that have no names but their numbers. */
    static EffectiveSettings numbered(BalancerSettings settings) {
        return new EffectiveSettings(
                settings,
                IntStream.range(0, settings.classes().size())
                        .mapToObj(Integer::toString)
                        .toList(),
                true);
    }

    /** The position of a class that a command may ask for; -1 for any other name. */
    public int indexOf(String name) {
        return name != null && offeredClasses.contains(name) ? classNames.indexOf(name) : -1;
    }

    /** Next terms as they count after these. */
    public EffectiveSettings mergedWith(EffectiveSettings next) {
        List<String> names = new ArrayList<>(classNames);
        List<RequestClass> all = new ArrayList<>(settings.classes());
        for (int i = 0; i < next.classNames.size(); i++) {
            int at = names.indexOf(next.classNames.get(i));
            if (at < 0) {
                names.add(next.classNames.get(i));
                all.add(next.settings.classes().get(i));
            } else {
                all.set(at, next.settings.classes().get(i));
            }
        }
        if (names.size() > MAX_CLASSES) {
            throw new IllegalArgumentException(
                    "setting classes has more than " + MAX_CLASSES + " names over all reloads");
        }
        BalancerSettings settingsOfAll = BalancerSettingsBuilder.from(next.settings)
                .forInstanceOf(settings)
                .classes(all)
                .build();
        return new EffectiveSettings(settingsOfAll, names, next.offeredClasses, next.delaysReported);
    }
}
