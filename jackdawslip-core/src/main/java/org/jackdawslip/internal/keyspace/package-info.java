/** Ownership of keys by backend servers, moves of keys, and distribution of load over the owners. No I/O. */
package org.jackdawslip.internal.keyspace;
