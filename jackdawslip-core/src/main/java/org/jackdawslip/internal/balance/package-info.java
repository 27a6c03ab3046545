/**
 * Choice of a backend server by expected response time, slow start, retry budget and load shedding. No I/O.
 */
package org.jackdawslip.internal.balance;
