/** The planner's duty: ledgers in the store, orders to engines; and the replicas they name. */
package org.agatefield.daemon.placing;
