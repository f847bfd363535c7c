/** Placeholder; the package's owner writes its description. */
package org.agatefield.admission;
