/** Manages a daemon's leases in the platform's store. */
package org.agatefield.daemon.leases;
