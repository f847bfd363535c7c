/**
 * Measures how the cost of the control plane grows with the number of instances, runners, models
 * and configuration changes. docs/CAPACITY.md is based on these measurements.
 */
package org.agatefield.measure.slopes;
