/** The stand-in for the platform's object store and instance list, with faults on demand. */
package org.agatefield.standin.store;
