package org.cactusseam.logic.membership;

import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Derives boot identities for a process that rejoins after it was expelled. Each rejoin appends a
 * counter, so that the new identity compares greater than the previous one, as that of a restarted
 * process does.
 */
public final class BootIds {

  private static final Pattern COUNTED = Pattern.compile("(.*)-r([0-9]{6})");

  private BootIds() {}

  /**
   * Strips the rejoin counter from a boot identity.
   *
   * @param boot boot identity, with or without a counter
   * @return boot identity with which the process started
   */
  public static String processBootId(String boot) {
    Matcher matcher = COUNTED.matcher(boot);
    return matcher.matches() ? matcher.group(1) : boot;
  }

  /**
   * Tells whether two boot identities belong to the same process.
   *
   * @param left boot identity of one run
   * @param right boot identity of another run
   * @return true if the identities are equal or differ only by rejoins; false after a restart
   */
  public static boolean isSameProcess(String left, String right) {
    return processBootId(left).equals(processBootId(right));
  }

  /** Returns the boot identity for the rejoin that follows the run with the given one. */
  static String nextAfter(String boot) {
    Matcher matcher = COUNTED.matcher(boot);
    String base = processBootId(boot);
    int count = matcher.matches() ? Integer.parseInt(matcher.group(2)) : 0;
    return String.format(Locale.ROOT, "%s-r%06d", base, count + 1);
  }
}
