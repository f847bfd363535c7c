/** Requests of legal size that name models which no configuration has, each another one. */
final class Case8 {
  private static final int HEAD_BYTES = 16_000; // The configuration allows 16,384.

  private Case8() {}

  public static void main(String[] arguments) {
    new CrowdCase(
            new CrowdCase.Runners(6, 450, 4, 400),
            new CrowdCase.Crowd(30, 3, true),
            60,
            Case8::head)
        .run(arguments[0]);
  }

  private static String head(String requestId, boolean unknownModel) {
    StringBuilder head =
        new StringBuilder("POST " + Deployment.STREAM_PATH + " HTTP/1.1\r\nHost: "
            + Deployment.HOST + "\r\nRequest-Id: " + requestId
            + "\r\nDeadline-Ms: 1000\r\nContent-Length: 0\r\nToken-Usage: 100,8\r\n"
            + "Prompt-Prefix: a:100\r\nModel: ");
    if (unknownModel) {
      head.append(requestId);
      head.append("x".repeat(HEAD_BYTES - head.length()));
    } else {
      head.append(Deployment.MODEL);
    }
    return head.append("\r\n\r\n").toString();
  }
}
