package org.jackdawslip.internal.ownership;

import java.nio.charset.StandardCharsets;

import net.openhft.hashing.LongHashFunction;

/** Maps keys to the unsigned 64-bit hash space with xxh3. Stateless and thread-safe. */
public final class KeyHash {

    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private KeyHash() {}

    /** Returns the hash of a key, which is the same on every instance and in every version of the product. */
    public static long of(String key) {
        return HASH.hashBytes(key.getBytes(StandardCharsets.UTF_8));
    }
}
