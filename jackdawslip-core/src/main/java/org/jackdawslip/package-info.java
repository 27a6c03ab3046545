/**
 * Value types, error codes and entry points of the router.
 *
 * <p>Everything in {@code org.jackdawslip.internal} may change without notice.
 */
package org.jackdawslip;
