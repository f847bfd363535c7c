/** Requests whose heads are of legal size and whose prompts have very many short parts. */
final class Case6 {
  private static final int HEAD_BYTES = 16_000; // The configuration allows 16,384.
  private static final int FEW_PARTS = 4;

  private Case6() {}

  public static void main(String[] arguments) {
    new CrowdCase(
            new CrowdCase.Runners(6, 120, 4, 400),
            new CrowdCase.Crowd(90, 3, false),
            40,
            Case6::head)
        .run(arguments[0]);
  }

  private static String head(String requestId, boolean manyParts) {
    StringBuilder head =
        new StringBuilder("POST " + Deployment.STREAM_PATH + " HTTP/1.1\r\nHost: "
            + Deployment.HOST + "\r\nRequest-Id: " + requestId
            + "\r\nDeadline-Ms: 5000\r\nModel: " + Deployment.MODEL
            + "\r\nContent-Length: 0\r\nPrompt-Prefix: ");
    int parts = 0;
    while (manyParts ? head.length() < HEAD_BYTES : parts < FEW_PARTS) {
      head.append(parts == 0 ? "" : ",").append(Integer.toHexString(parts)).append(":1");
      parts++;
    }
    return head.append("\r\nToken-Usage: ").append(parts).append(",8\r\n\r\n").toString();
  }
}
