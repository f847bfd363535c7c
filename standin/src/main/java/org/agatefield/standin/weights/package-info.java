/** A stand-in for the rate-limited weight store. */
package org.agatefield.standin.weights;
