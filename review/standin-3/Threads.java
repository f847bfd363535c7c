import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** The threads of the stand-ins; none keeps the program alive. */
final class Threads {
  private static final ExecutorService POOL =
      Executors.newCachedThreadPool(
          work -> {
            Thread thread = new Thread(work);
            thread.setDaemon(true);
            return thread;
          });

  private Threads() {}

  static void start(Runnable work) {
    POOL.execute(work);
  }

  static void pause(long milliseconds) {
    try {
      Thread.sleep(milliseconds);
    } catch (InterruptedException exception) {
      throw new IllegalStateException(exception);
    }
  }
}
