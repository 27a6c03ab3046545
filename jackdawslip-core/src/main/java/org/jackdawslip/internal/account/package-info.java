/** Client accounts: their credentials, priorities and quotas. No I/O. */
package org.jackdawslip.internal.account;
