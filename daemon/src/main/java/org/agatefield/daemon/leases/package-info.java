/** Leases of a daemon over the platform's store. */
package org.agatefield.daemon.leases;
