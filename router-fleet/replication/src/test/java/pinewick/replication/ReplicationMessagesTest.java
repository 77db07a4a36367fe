package pinewick.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.RecordComponent;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ReplicationMessagesTest {
    @Test
    void registersEveryMessageAndItsComponentTypes() {
        Set<Class<?>> registered = new HashSet<>(ReplicationMessages.types());
        assertEquals(registered.size(), ReplicationMessages.types().size(), "registered twice");
        for (Class<?> message : ReplicationMessages.class.getDeclaredClasses()) {
            assertTrue(registered.contains(message), message + " is not registered");
        }
        for (Class<?> type : ReplicationMessages.types()) {
            if (type.isRecord()) {
                requireComponents(type, registered);
            }
        }
    }

    private static void requireComponents(Class<?> type, Set<Class<?>> registered) {
        for (RecordComponent component : type.getRecordComponents()) {
            Class<?> componentType = component.getType();
            boolean basic = componentType.isPrimitive() || componentType == String.class || componentType == List.class;
            assertTrue(basic || registered.contains(componentType), type + " has a component of type " + componentType);
        }
    }

    @Test
    void registersListsOfEveryLength() {
        List<Class<?>> types = ReplicationMessages.types();
        for (int length = 0; length <= 5; length++) {
            List<Integer> list = List.copyOf(
                    java.util.stream.IntStream.range(0, length).boxed().toList());
            assertTrue(types.contains(list.getClass()), list.getClass() + " is not registered");
        }
    }
}
