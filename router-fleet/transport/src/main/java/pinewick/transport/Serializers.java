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
 * Serializers for the values in messages. Each validates a length against the remaining bytes before allocating, so
 * that a malformed frame cannot exhaust the memory.
 */
final class Serializers {
    private Serializers() {}

    private static int requireLengthInRange(Input input, int length) {
        int remaining = input.limit() - input.position();
        if (length < 0 || length > remaining) {
            throw new KryoException("length " + length + " out of range: " + remaining + " bytes remain");
        }
        return length;
    }

    /** Serializes any list; it is read back as an unmodifiable list. */
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
            int lengthPlusOne = input.readVarInt(true);
            if (lengthPlusOne == 0) {
                return null;
            }
            int size = requireLengthInRange(input, lengthPlusOne - 1);
            List<Object> list = new ArrayList<>(size);
            for (int index = 0; index < size; index++) {
                list.add(kryo.readClassAndObject(input));
            }
            return Collections.unmodifiableList(list);
        }
    }

    /** Serializes a string as UTF-8 with a length prefix. */
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
            int lengthPlusOne = input.readVarInt(true);
            if (lengthPlusOne == 0) {
                return null;
            }
            int length = requireLengthInRange(input, lengthPlusOne - 1);
            return new String(input.readBytes(length), StandardCharsets.UTF_8);
        }
    }

    /** Serializes a byte array with a length prefix. */
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
            int lengthPlusOne = input.readVarInt(true);
            return lengthPlusOne == 0 ? null : input.readBytes(requireLengthInRange(input, lengthPlusOne - 1));
        }
    }

    /** Serializes an address in 7 bytes if its host is an IPv4 literal, and with the host as a string otherwise. */
    static final class SocketAddressSerializer extends Serializer<SocketAddress> {
        private static final int NULL = 0;
        private static final int IPV4 = 1;
        private static final int STRING = 2;
        private static final int IPV4_OCTETS = 4;
        private static final int MAX_OCTET = 255;

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
                output.writeByte(STRING);
                kryo.writeObject(output, address.host());
            }
            output.writeShort(address.port());
        }

        @Override
        public SocketAddress read(Kryo kryo, Input input, Class<? extends SocketAddress> type) {
            int encoding = input.readByte();
            if (encoding == NULL) {
                return null;
            }
            String host = encoding == IPV4 ? readIpv4(input) : kryo.readObject(input, String.class);
            return new SocketAddress(host, input.readShortUnsigned());
        }

        private static String readIpv4(Input input) {
            StringBuilder host = new StringBuilder();
            for (int octetIndex = 0; octetIndex < IPV4_OCTETS; octetIndex++) {
                if (octetIndex > 0) {
                    host.append('.');
                }
                host.append(input.readByteUnsigned());
            }
            return host.toString();
        }

        /** The four bytes of an IPv4 literal such as {@code 10.1.0.9}; empty for any other host. */
        private static Optional<byte[]> parseIpv4(String host) {
            byte[] bytes = new byte[IPV4_OCTETS];
            int octetIndex = 0;
            int octet = -1;
            for (int index = 0; index <= host.length(); index++) {
                char character = index < host.length() ? host.charAt(index) : '.';
                if (character == '.') {
                    if (octet < 0 || octetIndex == IPV4_OCTETS) {
                        return Optional.empty();
                    }
                    bytes[octetIndex++] = (byte) octet;
                    octet = -1;
                } else if (character < '0' || character > '9' || octet == 0) {
                    return Optional.empty();
                } else {
                    octet = Math.max(octet, 0) * 10 + (character - '0');
                    if (octet > MAX_OCTET) {
                        return Optional.empty();
                    }
                }
            }
            return octetIndex == IPV4_OCTETS ? Optional.of(bytes) : Optional.empty();
        }
    }
}
