/**
 * Runs one entry instance: connects the decision logic of the core module with peers, HTTP, the store and
 * timers.
 */
package org.jackdawslip.internal.entry;
