package pinewick.transport;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import com.esotericsoftware.kryo.serializers.ImmutableSerializer;
import java.lang.reflect.Constructor;
import java.lang.reflect.Method;
import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import pinewick.model.WireName;

/**
 * Writes the components of a record in the alphabetical order of their wire names ({@link WireName}) and reads them
 * back through its canonical constructor. The bytes equal those of Kryo's {@code RecordSerializer}, which orders
 * components by their names in the source and so makes the protocol depend on them.
 */
final class MessageRecordSerializer<T> extends ImmutableSerializer<T> {
    /** A component and its position in the canonical constructor. */
    private record Component(String wireName, Class<?> type, Method accessor, int position) {}

    private final Constructor<T> constructor;
    private final List<Component> componentsInWireOrder;

    /** @param type a record type */
    MessageRecordSerializer(Class<T> type) {
        RecordComponent[] declared = type.getRecordComponents();
        Class<?>[] parameterTypes = new Class<?>[declared.length];
        List<Component> components = new ArrayList<>();
        for (int position = 0; position < declared.length; position++) {
            parameterTypes[position] = declared[position].getType();
            components.add(component(declared[position], position));
        }
        components.sort(Comparator.comparing(Component::wireName));
        componentsInWireOrder = List.copyOf(components);
        constructor = canonicalConstructor(type, parameterTypes);
    }

    private static Component component(RecordComponent declared, int position) {
        String wireName = Optional.ofNullable(declared.getAnnotation(WireName.class))
                .map(WireName::value)
                .orElse(declared.getName());
        Method accessor = declared.getAccessor();
        accessor.setAccessible(true);
        return new Component(wireName, declared.getType(), accessor, position);
    }

    private static <T> Constructor<T> canonicalConstructor(Class<T> type, Class<?>[] parameterTypes) {
        try {
            Constructor<T> constructor = type.getDeclaredConstructor(parameterTypes);
            constructor.setAccessible(true);
            return constructor;
        } catch (NoSuchMethodException e) {
            throw new IllegalArgumentException(type.getName() + " is not a record", e);
        }
    }

    @Override
    public void write(Kryo kryo, Output output, T message) {
        for (Component component : componentsInWireOrder) {
            Object value = valueOf(component, message);
            if (component.type.isPrimitive()) {
                kryo.writeObject(output, value);
            } else if (kryo.isFinal(component.type)) {
                kryo.writeObjectOrNull(output, value, component.type);
            } else {
                kryo.writeClassAndObject(output, value);
            }
        }
    }

    private static Object valueOf(Component component, Object message) {
        try {
            return component.accessor.invoke(message);
        } catch (ReflectiveOperationException e) {
            throw new KryoException("cannot read component " + component.wireName, e);
        }
    }

    @Override
    public T read(Kryo kryo, Input input, Class<? extends T> type) {
        Object[] values = new Object[componentsInWireOrder.size()];
        for (Component component : componentsInWireOrder) {
            values[component.position] = readValue(kryo, input, component.type);
        }
        try {
            return constructor.newInstance(values);
        } catch (ReflectiveOperationException e) {
            throw new KryoException("cannot construct " + type.getSimpleName(), e);
        }
    }

    private static Object readValue(Kryo kryo, Input input, Class<?> type) {
        if (type.isPrimitive()) {
            return kryo.readObject(input, type);
        }
        return kryo.isFinal(type) ? kryo.readObjectOrNull(input, type) : kryo.readClassAndObject(input);
    }
}
