/** The start-up settings of an entry instance. */
package org.jackdawslip.internal.settings;
