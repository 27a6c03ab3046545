/**
 * The configuration of callers' traffic: routes by host and path, their services, weights, and caller limits.
 * The classes do no I/O.
 */
package org.jackdawslip.internal.traffic;
