/** Distribution of the quotas of client accounts over instances. No I/O. */
package org.jackdawslip.internal.quota;
