/** Choice of a backend server by expected time, cold starts, retry budget and load shedding. No I/O. */
package org.jackdawslip.internal.balance;
