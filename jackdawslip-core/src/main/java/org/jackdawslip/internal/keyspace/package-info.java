/** Which backend server owns which keys, how keys move, and how load is spread over owners. No I/O. */
package org.jackdawslip.internal.keyspace;
