package org.agatefield.measure.slopes;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;

/** Reads the processor time and heap use of this process. Stateless. */
final class ProcessorTime {
  private ProcessorTime() {}

  /** Returns the processor time of this thread, in nanoseconds. */
  static long ofThisThread() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }

  /** Returns the processor time of this process, in nanoseconds. */
  static long ofThisProcess() {
    return ProcessHandle.current().info().totalCpuDuration().orElseThrow().toNanos();
  }

  /** Returns the heap use after a garbage collection, in bytes. */
  static long heapBytes() {
    MemoryMXBean memory = ManagementFactory.getMemoryMXBean();
    memory.gc();
    return memory.getHeapMemoryUsage().getUsed();
  }
}
