/**
 * Routing of requests to instances and backend servers. The classes do no I/O, start no threads and read no
 * clock.
 */
package org.jackdawslip.internal.routing;
