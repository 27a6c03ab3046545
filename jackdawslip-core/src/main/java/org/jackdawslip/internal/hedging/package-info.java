/**
 * Hedged attempts: when a slow request gets a second attempt at another backend server, and how many may. No I/O.
 */
package org.jackdawslip.internal.hedging;
