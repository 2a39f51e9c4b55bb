package org.cactusseam.system;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A Java process of the system under test, to which tests can send signals. */
final class ChildProcess implements AutoCloseable {

  private final Process process;
  private final Path output;

  private ChildProcess(Process process, Path output) {
    this.process = process;
    this.output = output;
  }

  static ChildProcess start(Path folder, String name, String mainClass, List<String> arguments) {
    return start(folder, name, List.of(), mainClass, arguments);
  }

  static ChildProcess start(
      Path folder, String name, List<String> options, String mainClass, List<String> arguments) {
    return start(folder, name, List.of(), options, mainClass, arguments);
  }

  /**
   * Starts a process through a command that sets limits of the operating system.
   *
   * @param launcher words of the command, to which the words of the Java command are appended
   */
  static ChildProcess start(
      Path folder,
      String name,
      List<String> launcher,
      List<String> options,
      String mainClass,
      List<String> arguments) {
    Path output = folder.resolve(name + ".log");
    List<String> command = new ArrayList<>(launcher);
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-Xmx160m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
    command.addAll(options);
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), mainClass));
    command.addAll(arguments);
    try {
      Process process =
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()))
              .start();
      return new ChildProcess(process, output);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  boolean isAlive() {
    return process.isAlive();
  }

  long pid() {
    return process.pid();
  }

  void signal(String signal) {
    try {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }

  void kill() {
    process.destroyForcibly();
    process.onExit().join();
  }

  int awaitExit(int seconds) {
    try {
      if (!process.waitFor(seconds, TimeUnit.SECONDS)) {
        throw new AssertionError("process did not exit within " + seconds + " s; see " + output);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
    return process.exitValue();
  }

  String output() {
    try {
      return Files.readString(output);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void close() {
    signal("CONT");
    kill();
  }
}
