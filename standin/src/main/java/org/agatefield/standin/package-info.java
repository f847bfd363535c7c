/** Stand-ins of outside systems, for tests and trials; not shipped. */
package org.agatefield.standin;
