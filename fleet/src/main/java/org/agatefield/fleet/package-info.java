/** Starts daemons and stand-ins as separate processes, for the quickstart, the soak and tests. */
package org.agatefield.fleet;
