package org.jackdawslip.internal.json;

import java.util.Collection;
import java.util.Comparator;
import java.util.Locale;
import java.util.Optional;

/** Suggests the known name that is most similar to a misspelled one. Stateless and thread-safe. */
public final class NameSuggestion {

    private NameSuggestion() {}

    /**
     * Returns the most similar name within an edit distance of a third of its length, or of 2 if that is
     * more.
     */
    public static Optional<String> find(String misspelled, Collection<String> knownNames) {
        String lower = misspelled.toLowerCase(Locale.ROOT);
        return knownNames.stream()
                .filter(name -> distance(lower, name) <= Math.max(2, name.length() / 3))
                .min(Comparator.comparingInt(name -> distance(lower, name)));
    }

    /**
     * Returns the Levenshtein distance between a lower-case text and a name, ignoring the case of the name.
     */
    private static int distance(String lower, String name) {
        String lowerName = name.toLowerCase(Locale.ROOT);
        int[] previous = new int[lowerName.length() + 1];
        for (int column = 0; column <= lowerName.length(); column++) {
            previous[column] = column;
        }
        for (int row = 1; row <= lower.length(); row++) {
            int[] current = new int[lowerName.length() + 1];
            current[0] = row;
            for (int column = 1; column <= lowerName.length(); column++) {
                int substitutionCost = lower.charAt(row - 1) == lowerName.charAt(column - 1) ? 0 : 1;
                current[column] = Math.min(
                        Math.min(current[column - 1], previous[column]) + 1, previous[column - 1] + substitutionCost);
            }
            previous = current;
        }
        return previous[lowerName.length()];
    }
}
