/**
 * Starts daemons and stand-ins as separate processes for the quickstart, soak tests and other
 * tests.
 */
package org.agatefield.fleet;
