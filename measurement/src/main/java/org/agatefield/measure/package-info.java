/**
 * Measures the decisions on seeded demand at the users' sizes. Not part of a daemon.
 *
 * <p>Runners are stepped by a stated service-time model and nothing more; everything that is
 * decided is decided by the code that the daemon runs.
 */
package org.agatefield.measure;
