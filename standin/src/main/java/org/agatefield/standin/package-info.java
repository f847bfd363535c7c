/** Stand-ins for external systems, used in tests and trials; not part of a release. */
package org.agatefield.standin;
