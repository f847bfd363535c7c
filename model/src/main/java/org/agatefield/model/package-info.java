/** Records and closed enumerations that every other package shares; depends on nothing. */
package org.agatefield.model;
