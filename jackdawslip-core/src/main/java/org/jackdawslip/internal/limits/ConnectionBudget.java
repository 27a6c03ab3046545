package org.jackdawslip.internal.limits;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Limit of the connections of clients. At the limit, a new connection replaces the one that is worth least: first
 * connections that are ending, then those on which no request was completed yet, then idle ones; in each group the
 * one that has waited longest. Connections of an address with more than half of all connections go first within
 * their group. A connection with an open request is never closed for another one.
 *
 * <p>Invariant: no more connections are open than the limit. Not thread-safe.
 */
public final class ConnectionBudget {

    /** What a connection is doing, in the order in which connections are closed. */
    public enum Activity {
        /** Its last response was written, or it was refused. */
        ENDING,
        /** No request was completed on it yet. */
        UNPROVEN,
        /** It waits for another request. */
        IDLE,
        /** A request of it was passed on, or a response is being written. */
        BUSY
    }

    /** A connection that counts against the limit. */
    public interface Connection {

        /** Returns what the connection is doing. */
        Activity activity();

        /** Returns for how long the connection has been doing that, or for how long it is slow, in milliseconds. */
        long waitingMillis();

        /** Returns the remote address. */
        Object address();

        /** Closes the connection at once, because another one needs its place. */
        void closeForAnother();
    }

    private final int limit;
    private final Set<Connection> connections = new LinkedHashSet<>();
    private final Map<Object, Integer> countByAddress = new HashMap<>();
    private long refused;
    private long replaced;

    /** Creates a budget without connections. */
    public ConnectionBudget(int limit) {
        if (limit < 1) {
            throw new IllegalArgumentException("limit " + limit + " is below 1");
        }
        this.limit = limit;
    }

    /** Returns the limit. */
    public int limit() {
        return limit;
    }

    /** Returns the number of open connections. */
    public int open() {
        return connections.size();
    }

    /** Returns how many connections were refused because every other one has an open request. */
    public long refused() {
        return refused;
    }

    /** Returns how many connections were closed in favour of a new one. */
    public long replaced() {
        return replaced;
    }

    /** Adds a connection, and closes another one if the limit is reached. Returns false if none can be closed. */
    public boolean tryOpen(Connection connection) {
        if (connections.size() >= limit) {
            Connection least = leastValuable();
            if (least == null) {
                refused++;
                return false;
            }
            replaced++;
            close(least);
            least.closeForAnother();
        }
        connections.add(connection);
        countByAddress.merge(connection.address(), 1, Integer::sum);
        return true;
    }

    /** Removes a connection that was closed. Has no effect if it was removed already. */
    public void close(Connection connection) {
        if (connections.remove(connection)) {
            countByAddress.computeIfPresent(connection.address(), (address, count) -> count == 1 ? null : count - 1);
        }
    }

    private Connection leastValuable() {
        Connection least = null;
        for (Connection connection : connections) {
            if (connection.activity() != Activity.BUSY && (least == null || isLessValuable(connection, least))) {
                least = connection;
            }
        }
        return least;
    }

    private boolean isLessValuable(Connection connection, Connection other) {
        int byActivity = connection.activity().compareTo(other.activity());
        if (byActivity != 0) {
            return byActivity < 0;
        }
        boolean manyAtAddress = hasManyConnections(connection);
        if (manyAtAddress != hasManyConnections(other)) {
            return manyAtAddress;
        }
        return connection.waitingMillis() > other.waitingMillis();
    }

    private boolean hasManyConnections(Connection connection) {
        return countByAddress.getOrDefault(connection.address(), 0) > limit / 2;
    }
}
