/** Runs a case by its class; a case that cannot run ends with 2. */
public final class Case {
  public static void main(String[] args) {
    try {
      String[] more = {args[1]};
      Class.forName(args[0]).getMethod("main", String[].class).invoke(null, (Object) more);
    } catch (Throwable e) {
      e.printStackTrace();
      System.exit(2);
    }
  }
}
