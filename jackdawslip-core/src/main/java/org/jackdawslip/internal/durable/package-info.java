/** Decisions about a durable store that may come back from an earlier copy of itself. */
package org.jackdawslip.internal.durable;
