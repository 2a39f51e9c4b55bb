package org.cactusseam.logic.membership;

import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Boot identities of runs that a process starts after it was removed from the view. They compare
 * greater than the identity before, as the one of a restarted process does.
 */
final class Boots {

  private static final Pattern COUNTED = Pattern.compile("(.*)-r([0-9]{6})");

  private Boots() {}

  static String after(String boot) {
    Matcher matcher = COUNTED.matcher(boot);
    String base = matcher.matches() ? matcher.group(1) : boot;
    int count = matcher.matches() ? Integer.parseInt(matcher.group(2)) : 0;
    return String.format(Locale.ROOT, "%s-r%06d", base, count + 1);
  }
}
