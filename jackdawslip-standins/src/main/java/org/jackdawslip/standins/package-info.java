/**
 * Test doubles of the systems around the router: a store and a backend server. Production code does not
 * depend on them.
 */
package org.jackdawslip.standins;
