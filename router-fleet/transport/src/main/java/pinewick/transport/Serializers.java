package pinewick.transport;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.Serializer;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import pinewick.model.SocketAddress;

/**
 * Serializers for the values that messages are made of. Each checks a length against the remaining bytes before it
 * allocates, so that a malformed frame cannot exhaust the memory.
 */
final class Serializers {
    private Serializers() {}

    private static int checkedLength(Input input, int length) {
        int remaining = input.limit() - input.position();
        if (length < 0 || length > remaining) {
            throw new KryoException("length " + length + " with " + remaining + " bytes left");
        }
        return length;
    }

    /** Any list, read back as one that cannot be modified. */
    static final class ListSerializer extends Serializer<List<?>> {
        ListSerializer() {
            super(true, true);
        }

        @Override
        public void write(Kryo kryo, Output output, List<?> list) {
            if (list == null) {
                output.writeVarInt(0, true);
                return;
            }
            output.writeVarInt(list.size() + 1, true);
            for (Object element : list) {
                kryo.writeClassAndObject(output, element);
            }
        }

        @Override
        public List<?> read(Kryo kryo, Input input, Class<? extends List<?>> type) {
            int stored = input.readVarInt(true);
            if (stored == 0) {
                return null;
            }
            int size = checkedLength(input, stored - 1);
            List<Object> list = new ArrayList<>(size);
            for (int i = 0; i < size; i++) {
                list.add(kryo.readClassAndObject(input));
            }
            return Collections.unmodifiableList(list);
        }
    }

    /** Text as UTF-8 with its length in front. */
    static final class StringSerializer extends Serializer<String> {
        StringSerializer() {
            super(true, true);
        }

        @Override
        public void write(Kryo kryo, Output output, String text) {
            if (text == null) {
                output.writeVarInt(0, true);
                return;
            }
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            output.writeVarInt(bytes.length + 1, true);
            output.writeBytes(bytes);
        }

        @Override
        public String read(Kryo kryo, Input input, Class<? extends String> type) {
            int stored = input.readVarInt(true);
            if (stored == 0) {
                return null;
            }
            int length = checkedLength(input, stored - 1);
            return new String(input.readBytes(length), StandardCharsets.UTF_8);
        }
    }

    /** Bytes with their length in front. */
    static final class ByteArraySerializer extends Serializer<byte[]> {
        ByteArraySerializer() {
            super(true, true);
        }

        @Override
        public void write(Kryo kryo, Output output, byte[] bytes) {
            if (bytes == null) {
                output.writeVarInt(0, true);
                return;
            }
            output.writeVarInt(bytes.length + 1, true);
            output.writeBytes(bytes);
        }

        @Override
        public byte[] read(Kryo kryo, Input input, Class<? extends byte[]> type) {
            int stored = input.readVarInt(true);
            return stored == 0 ? null : input.readBytes(checkedLength(input, stored - 1));
        }
    }

    /** An address in 7 bytes where its host is an IPv4 number, else as text. */
    static final class SocketAddressSerializer extends Serializer<SocketAddress> {
        private static final int NULL = 0;
        private static final int IPV4 = 1;
        private static final int TEXT = 2;
        private static final int IPV4_BYTES = 4;
        private static final int MAX_BYTE = 255;

        SocketAddressSerializer() {
            super(true, true);
        }

        @Override
        public void write(Kryo kryo, Output output, SocketAddress address) {
            if (address == null) {
                output.writeByte(NULL);
                return;
            }
            Optional<byte[]> ipv4 = parseIpv4(address.host());
            if (ipv4.isPresent()) {
                output.writeByte(IPV4);
                output.writeBytes(ipv4.get());
            } else {
                output.writeByte(TEXT);
                kryo.writeObject(output, address.host());
            }
            output.writeShort(address.port());
        }

        @Override
        public SocketAddress read(Kryo kryo, Input input, Class<? extends SocketAddress> type) {
            int form = input.readByte();
            if (form == NULL) {
                return null;
            }
            String host = form == IPV4 ? readIpv4(input) : kryo.readObject(input, String.class);
            return new SocketAddress(host, input.readShortUnsigned());
        }

        private static String readIpv4(Input input) {
            StringBuilder host = new StringBuilder();
            for (int part = 0; part < IPV4_BYTES; part++) {
                if (part > 0) {
                    host.append('.');
                }
                host.append(input.readByteUnsigned());
            }
            return host.toString();
        }

        /** The four bytes of a host such as {@code 10.1.0.9}; empty if it is written in any other way. */
        private static Optional<byte[]> parseIpv4(String host) {
            byte[] bytes = new byte[IPV4_BYTES];
            int part = 0;
            int value = -1;
            for (int i = 0; i <= host.length(); i++) {
                char c = i < host.length() ? host.charAt(i) : '.';
                if (c == '.') {
                    if (value < 0 || part == IPV4_BYTES) {
                        return Optional.empty();
                    }
                    bytes[part++] = (byte) value;
                    value = -1;
                } else if (c < '0' || c > '9' || value == 0) {
                    return Optional.empty();
                } else {
                    value = Math.max(value, 0) * 10 + (c - '0');
                    if (value > MAX_BYTE) {
                        return Optional.empty();
                    }
                }
            }
            return part == IPV4_BYTES ? Optional.of(bytes) : Optional.empty();
        }
    }
}
