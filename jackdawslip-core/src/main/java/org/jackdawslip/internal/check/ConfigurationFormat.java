package org.jackdawslip.internal.check;

import java.util.Set;

/** The names of a format for routing configurations. Implementations are stateless and thread-safe. */
public interface ConfigurationFormat {

    /** Returns the name of a field. */
    String name(ConfigurationField field);

    /** Returns the allowed values of {@link ConfigurationField#KIND}. */
    Set<String> kinds();
}
