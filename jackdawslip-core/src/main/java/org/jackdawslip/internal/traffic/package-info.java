/** Routes by host and path, the services behind them, and the limits for callers. No I/O. */
package org.jackdawslip.internal.traffic;
