/**
 * The gateway: accepts requests of callers on one event loop, chooses a backend server with the load
 * balancing and key ownership of the core, and forwards the requests. An adapter translates the formats of a
 * particular platform.
 */
package org.jackdawslip.internal.gateway;
