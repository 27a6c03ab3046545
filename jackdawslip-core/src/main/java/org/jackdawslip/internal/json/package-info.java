/** Validates JSON documents against schemas and reports all their faults. */
package org.jackdawslip.internal.json;
