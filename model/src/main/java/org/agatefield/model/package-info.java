/** Records and enums that all other packages share. Has no dependencies on them. */
package org.agatefield.model;
