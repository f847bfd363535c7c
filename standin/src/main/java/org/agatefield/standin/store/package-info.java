/** A stand-in for the platform's object store and instance list, with configurable faults. */
package org.agatefield.standin.store;
