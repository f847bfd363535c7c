/** Soak test: runs a whole fleet under a seeded schedule of failures and checks its guarantees. */
package org.agatefield.fleet.soak;
