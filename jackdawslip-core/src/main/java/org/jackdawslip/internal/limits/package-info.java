/** Limits on what clients make an instance hold: memory, connections and time. No I/O. */
package org.jackdawslip.internal.limits;
