package org.jackdawslip.standins;

import java.util.LinkedHashMap;
import java.util.Map;

/** Journal entry of one execution of a request. Thread-safe: the mutable fields are volatile. */
final class JournalEntry {

    private final Map<String, Object> request;
    private final long startMillis = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();
    private volatile long endMillis = -1;
    private volatile long endNanos = -1;
    private volatile String result = "running";

    JournalEntry(Map<String, Object> request) {
        this.request = request;
    }

    /** Records the end of the execution. */
    void complete(String finalResult) {
        endMillis = System.currentTimeMillis();
        endNanos = System.nanoTime();
        result = finalResult;
    }

    /** Returns the entry as JSON object. The nanosecond values are of the monotonic clock of the host. */
    Map<String, Object> toJson() {
        Map<String, Object> json = new LinkedHashMap<>(request);
        json.put("start", startMillis);
        json.put("end", endMillis);
        json.put("startNanos", startNanos);
        json.put("endNanos", endNanos);
        json.put("result", result);
        return json;
    }
}
