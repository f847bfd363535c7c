package org.agatefield.daemon;

import java.net.URI;
import java.net.URISyntaxException;
import java.util.Locale;
import org.agatefield.settings.DaemonSettings;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.config.Configurator;

/**
 * Configures the format and level of the log from the settings. Must be called once, before the
 * daemon starts.
 */
final class LoggingSetup {
  private static final String PACKAGE = "org.agatefield";

  private LoggingSetup() {}

  static void apply(DaemonSettings.Log log) {
    String resource = "/log4j2-" + log.format().name().toLowerCase(Locale.ROOT) + ".xml";
    LoggerContext context = (LoggerContext) LogManager.getContext(false);
    context.setConfigLocation(locate(resource));
    Configurator.setLevel(PACKAGE, Level.toLevel(log.level()));
  }

  private static URI locate(String resource) {
    try {
      return LoggingSetup.class.getResource(resource).toURI();
    } catch (URISyntaxException exception) {
      throw new IllegalStateException("the URI of the log configuration is invalid", exception);
    }
  }
}
