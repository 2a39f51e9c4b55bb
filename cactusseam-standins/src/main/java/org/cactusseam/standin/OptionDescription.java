package org.cactusseam.standin;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Help text of a setting. It is an annotation and not only Javadoc, because {@code --help} shows
 * it.
 */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.RECORD_COMPONENT)
public @interface OptionDescription {

  /**
   * Returns the text.
   *
   * @return purpose and unit of the setting
   */
  String value();
}
