/** A long seeded run of a whole fleet under failures, with the promises checked throughout. */
package org.agatefield.fleet.soak;
