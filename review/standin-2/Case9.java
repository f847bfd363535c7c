/** Drafts of legal size, all of them served, whose shared prompt part has a long identifier. */
final class Case9 {
  private static final int IDENTIFIER_DIGITS = 15_600; // The configuration allows heads of 16,384.

  private Case9() {}

  public static void main(String[] arguments) {
    new CrowdCase(
            new CrowdCase.Runners(6, 450, 8, 40),
            new CrowdCase.Crowd(240, 2, true),
            95,
            Case9::head)
        .run(arguments[0]);
  }

  private static String head(String requestId, boolean longIdentifier) {
    String part = requestId + (longIdentifier ? "0".repeat(IDENTIFIER_DIGITS) : "");
    return "POST " + Deployment.STREAM_PATH + " HTTP/1.1\r\nHost: " + Deployment.HOST
        + "\r\nRequest-Id: " + requestId + "\r\nDeadline-Ms: 5000\r\nModel: "
        + Deployment.MODEL + "\r\nContent-Length: 0\r\nToken-Usage: 2,8\r\nPrompt-Prefix: " + part
        + ":1,b:1\r\n\r\n";
  }
}
