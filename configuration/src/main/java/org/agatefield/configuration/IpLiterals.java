package org.agatefield.configuration;

import java.util.regex.Pattern;

/** Tells IP numbers from names without asking a name service. Has no state. */
final class IpLiterals {
  private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])";
  private static final Pattern VERSION_4 = Pattern.compile("(" + OCTET + "\\.){3}" + OCTET);
  private static final Pattern VERSION_6 = Pattern.compile("\\[[0-9a-f:]*:[0-9a-f:.]*]");

  private IpLiterals() {}

  static boolean isIpLiteral(String host) {
    return VERSION_4.matcher(host).matches() || VERSION_6.matcher(host).matches();
  }
}
