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

/** A Java process of the benchmark, whose processor time and heap usage can be measured. */
final class BenchmarkProcess implements AutoCloseable {

  /**
   * Number of forced collections per measurement. The serial collector compacts the whole heap only
   * in every fourth collection; in the others, dead objects of up to 5 % of the old generation may
   * stay in place and would count as used.
   */
  private static final int FORCED_COLLECTIONS = 4;

  private final Process process;

  private BenchmarkProcess(Process process) {
    this.process = process;
  }

  static BenchmarkProcess start(
      Path folder, String name, List<String> jvmOptions, Path jar, List<String> arguments) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(jvmOptions);
    command.addAll(List.of("-jar", jar.toString()));
    command.addAll(arguments);
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

  Duration cpuTime() {
    return process.info().totalCpuDuration().orElseThrow();
  }

  /** Returns the used heap after forced collections, in bytes. */
  @SuppressWarnings("BanJNDI") // the agent listens on loopback, in a child process
  long measureUsedHeap() {
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
        long minimumUsed = Long.MAX_VALUE;
        for (int collection = 0; collection < FORCED_COLLECTIONS; collection++) {
          memory.gc();
          minimumUsed = Math.min(minimumUsed, memory.getHeapMemoryUsage().getUsed());
        }
        return minimumUsed;
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
