package org.cactusseam.logic.membership;

import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Boot identities of runs that a process starts after it was removed from the view. They compare
 * greater than the identity before, as the one of a restarted process does.
 */
public final class BootIds {

  private static final Pattern COUNTED = Pattern.compile("(.*)-r([0-9]{6})");

  private BootIds() {}

  /**
   * Returns the identity with which the process of a run started.
   *
   * @param boot boot identity
   * @return boot identity of the first run of the process
   */
  public static String ofProcess(String boot) {
    Matcher matcher = COUNTED.matcher(boot);
    return matcher.matches() ? matcher.group(1) : boot;
  }

  /**
   * Tells whether two runs are of one process.
   *
   * @param left boot identity
   * @param right boot identity
   * @return true if a rejoin, and not a restart, lies between them
   */
  public static boolean isSameProcess(String left, String right) {
    return ofProcess(left).equals(ofProcess(right));
  }

  static String after(String boot) {
    Matcher matcher = COUNTED.matcher(boot);
    String base = ofProcess(boot);
    int count = matcher.matches() ? Integer.parseInt(matcher.group(2)) : 0;
    return String.format(Locale.ROOT, "%s-r%06d", base, count + 1);
  }
}
