/**
 * Measures how the cost of control grows with the number of instances, runners, models and changes
 * of the configuration; docs/CAPACITY.md is worked out from it.
 */
package org.agatefield.measure.slopes;
