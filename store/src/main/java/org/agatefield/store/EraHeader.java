package org.agatefield.store;

import io.vertx.core.MultiMap;
import java.util.OptionalLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Parses the header in which a store names its era. Stateless and safe for use by any thread. */
public final class EraHeader {
  private static final Logger LOGGER = LogManager.getLogger(EraHeader.class);

  private EraHeader() {}

  /** Returns the era in a header; empty if the header is missing or is no positive number. */
  public static OptionalLong parse(MultiMap headers, String name) {
    String text = headers.get(name);
    if (text == null) {
      return OptionalLong.empty();
    }
    try {
      long era = Long.parseLong(text.strip());
      return era > StoreVersion.NO_ERA ? OptionalLong.of(era) : OptionalLong.empty();
    } catch (NumberFormatException exception) {
      LOGGER.warn("ignoring an era of the store that is not a number: {}", text);
      return OptionalLong.empty();
    }
  }
}
