/** The late order, with a planned stop of the machine that sent it. */
public final class LateOrderHandover {
  public static void main(String[] args) throws Exception {
    System.setProperty("handover", "true");
    LateOrder.main(args);
  }
}
