package org.cactusseam.standin;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Help text of a setting. It is an annotation rather than Javadoc because {@code --help} reads it
 * at run time.
 */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.RECORD_COMPONENT)
public @interface OptionDescription {

  /**
   * Returns the text that {@code --help} prints.
   *
   * @return purpose and unit of the setting
   */
  String value();
}
