package pinewick.model;

import java.lang.annotation.Documented;
import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * The name that determines the position of a {@link Message} component on the wire, if it differs from the component's
 * own name. The codec writes the components of a record in alphabetical order of these names, so a renamed component
 * keeps its original name here. Otherwise the encoding would change, and processes of two releases could not
 * communicate during a rolling restart.
 */
@Documented
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.RECORD_COMPONENT)
public @interface WireName {
    /** The component's name in the first release that encoded it. */
    String value();
}
