package org.cactusseam.benchmark;

import com.sun.tools.attach.AttachNotSupportedException;
import com.sun.tools.attach.VirtualMachine;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import javax.management.remote.JMXConnector;
import javax.management.remote.JMXConnectorFactory;
import javax.management.remote.JMXServiceURL;

/** A Java process of the benchmark, with its processor time and its heap. */
final class BenchmarkProcess implements AutoCloseable {

  /**
   * The serial collector compacts the whole heap in one of four collections; in the others it
   * leaves dead objects of up to 5 % of the old generation in place, which would count as in use.
   */
  private static final int COLLECTIONS = 4;

  private final Process process;

  private BenchmarkProcess(Process process) {
    this.process = process;
  }

  static BenchmarkProcess start(
      Path folder, String name, List<String> virtualMachineOptions, Path jar, List<String> rest) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(virtualMachineOptions);
    command.addAll(List.of("-jar", jar.toString()));
    command.addAll(rest);
    try {
      return new BenchmarkProcess(
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(folder.resolve(name + ".log").toFile())
              .start());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  Duration processorTime() {
    return process.info().totalCpuDuration().orElseThrow();
  }

  /** Returns the bytes of the heap that are in use after forced collections. */
  @SuppressWarnings("BanJNDI") // The agent listens on loopback, in a process started here.
  long heapAfterCollection() {
    try {
      VirtualMachine machine = VirtualMachine.attach(Long.toString(process.pid()));
      String address = machine.startLocalManagementAgent();
      machine.detach();
      try (JMXConnector connector = JMXConnectorFactory.connect(new JMXServiceURL(address))) {
        MemoryMXBean memory =
            ManagementFactory.newPlatformMXBeanProxy(
                connector.getMBeanServerConnection(),
                ManagementFactory.MEMORY_MXBEAN_NAME,
                MemoryMXBean.class);
        long least = Long.MAX_VALUE;
        for (int collection = 0; collection < COLLECTIONS; collection++) {
          memory.gc();
          least = Math.min(least, memory.getHeapMemoryUsage().getUsed());
        }
        return least;
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (AttachNotSupportedException e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  public void close() {
    process.destroy();
    try {
      if (!process.waitFor(20, TimeUnit.SECONDS)) {
        process.destroyForcibly();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      process.destroyForcibly();
    }
  }
}
