/**
 * Measures routing, shedding, retry and placement decisions under seeded demand at the users'
 * sizes. Not part of a daemon.
 *
 * <p>Only the runners are simulated, by a service-time model; all decisions are made by the code
 * that the daemon runs.
 */
package org.agatefield.measure;
