/**
 * The gateway: takes requests from callers on one event loop, chooses a backend server with the decisions of the core,
 * and forwards. What a particular platform calls things is given in by an adapter.
 */
package org.jackdawslip.internal.gateway;
