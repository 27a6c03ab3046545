/** Checks of configurations before they are put in force, and the differences between two of them. No I/O. */
package org.jackdawslip.internal.check;
