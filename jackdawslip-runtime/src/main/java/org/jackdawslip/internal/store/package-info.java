/** Access to the key-value store that holds the operators' configuration. */
package org.jackdawslip.internal.store;
