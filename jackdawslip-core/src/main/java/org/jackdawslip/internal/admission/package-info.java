/**
 * Admission and scheduling at the sender, the only instance that may send requests to a backend server:
 * queues, slot limits, slow start, retries, hedging and the registry of at-most-once requests.
 *
 * <p>The classes do no I/O, start no threads and read no clock.
 */
package org.jackdawslip.internal.admission;
