/** Detection of silent peers, and the membership status that permits use of a share of the global limits. */
package org.jackdawslip.internal.membership;
