package pinewick.storage;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import pinewick.model.ReplicaRecord;
import pinewick.model.ReplicaState;
import pinewick.model.SocketAddress;
import pinewick.model.Stage;
import pinewick.replication.ChangeKey;
import pinewick.replication.EpochNumber;
import pinewick.replication.EpochRecord;
import pinewick.replication.Member;
import pinewick.replication.StateVersion;
import pinewick.replication.StoredChange;
import pinewick.replication.StoredHead;

/** The binary format of stored records. Each value starts with the format version. */
final class StoredFormat {
    private static final int FORMAT_VERSION = 1;

    private StoredFormat() {}

    /** Encodes one value. */
    private interface Writer {
        void write(DataOutputStream out) throws IOException;
    }

    static byte[] writeHead(StoredHead head) {
        return write(out -> {
            out.writeUTF(head.identity());
            writeNumber(out, head.promised());
            writeRecord(out, head.accepted());
            out.writeLong(head.stateVersion().epoch());
            out.writeLong(head.stateVersion().sequence());
        });
    }

    static StoredHead readHead(byte[] bytes) throws IOException {
        DataInputStream in = open(bytes);
        String identity = in.readUTF();
        EpochNumber promised = readNumber(in);
        EpochRecord accepted = readRecord(in);
        return new StoredHead(identity, promised, accepted, new StateVersion(in.readLong(), in.readLong()));
    }

    static byte[] writeChange(StoredChange change) {
        return write(out -> {
            out.writeLong(change.key().baseVersion());
            out.writeLong(change.key().version());
            out.writeUTF(change.key().digest());
            out.writeInt(change.delta().length);
            out.write(change.delta());
        });
    }

    static StoredChange readChange(byte[] bytes) throws IOException {
        DataInputStream in = open(bytes);
        ChangeKey key = new ChangeKey(in.readLong(), in.readLong(), in.readUTF());
        byte[] delta = in.readNBytes(in.readInt());
        return new StoredChange(delta, key);
    }

    /** Encodes a replica record, followed by a checksum of its own. */
    static byte[] writeReplica(ReplicaRecord record) {
        byte[] content = write(out -> {
            writeText(out, record.instanceId());
            writeText(out, record.service());
            writeAddress(out, record.address());
            writeText(out, record.zone());
            writeText(out, record.softwareVersion());
            out.writeInt(record.slots());
            out.writeUTF(record.state().name());
            out.writeInt(record.warmUpRemainingMs());
            out.writeUTF(record.stage().name());
            out.writeInt(record.models().size());
            for (ReplicaRecord.ModelVersion model : record.models()) {
                writeText(out, model.name());
                out.writeInt(model.version());
            }
            out.writeLong(record.callSequence());
            out.writeBoolean(record.lapsed());
        });
        return ByteBuffer.allocate(content.length + Integer.BYTES)
                .put(content)
                .putInt(checksumOf(content, content.length))
                .array();
    }

    static ReplicaRecord readReplica(byte[] bytes) throws IOException {
        int contentLength = bytes.length - Integer.BYTES;
        if (contentLength < 0 || ByteBuffer.wrap(bytes).getInt(contentLength) != checksumOf(bytes, contentLength)) {
            throw new IOException("checksum mismatch in a stored replica record");
        }
        DataInputStream in = open(bytes);
        return new ReplicaRecord(
                readText(in),
                readText(in),
                readAddress(in),
                readText(in),
                readText(in),
                in.readInt(),
                readConstant(ReplicaState.class, in.readUTF()),
                in.readInt(),
                readConstant(Stage.class, in.readUTF()),
                readModels(in),
                in.readLong(),
                in.readBoolean());
    }

    private static List<ReplicaRecord.ModelVersion> readModels(DataInputStream in) throws IOException {
        List<ReplicaRecord.ModelVersion> models = new ArrayList<>();
        for (int remaining = in.readInt(); remaining > 0; remaining--) {
            models.add(new ReplicaRecord.ModelVersion(readText(in), in.readInt()));
        }
        return models;
    }

    /** Writes a text that a replica sent. The length that {@code writeUTF} can write is too small for some. */
    private static void writeText(DataOutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.writeInt(bytes.length);
        out.write(bytes);
    }

    private static String readText(DataInputStream in) throws IOException {
        return new String(in.readNBytes(in.readInt()), StandardCharsets.UTF_8);
    }

    private static <E extends Enum<E>> E readConstant(Class<E> type, String name) throws IOException {
        try {
            return Enum.valueOf(type, name);
        } catch (IllegalArgumentException e) {
            throw new IOException("unknown " + type.getSimpleName() + " " + name, e);
        }
    }

    private static int checksumOf(byte[] bytes, int length) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, 0, length);
        return (int) checksum.getValue();
    }

    private static void writeNumber(DataOutputStream out, EpochNumber number) throws IOException {
        out.writeLong(number.counter());
        out.writeUTF(number.proposer());
    }

    private static EpochNumber readNumber(DataInputStream in) throws IOException {
        return new EpochNumber(in.readLong(), in.readUTF());
    }

    private static void writeRecord(DataOutputStream out, EpochRecord record) throws IOException {
        writeNumber(out, record.number());
        out.writeUTF(record.primary());
        out.writeInt(record.inSync().size());
        for (String identity : record.inSync()) {
            out.writeUTF(identity);
        }
        writeMembers(out, record.members());
        writeMembers(out, record.previousMembers());
    }

    private static EpochRecord readRecord(DataInputStream in) throws IOException {
        EpochNumber number = readNumber(in);
        String primary = in.readUTF();
        List<String> inSync = new ArrayList<>();
        for (int remaining = in.readInt(); remaining > 0; remaining--) {
            inSync.add(in.readUTF());
        }
        List<Member> members = readMembers(in);
        return new EpochRecord(number, primary, inSync, members, readMembers(in));
    }

    private static void writeMembers(DataOutputStream out, List<Member> members) throws IOException {
        out.writeInt(members.size());
        for (Member member : members) {
            out.writeUTF(member.identity());
            writeAddress(out, member.address());
        }
    }

    private static void writeAddress(DataOutputStream out, SocketAddress address) throws IOException {
        out.writeUTF(address.host());
        out.writeInt(address.port());
    }

    private static SocketAddress readAddress(DataInputStream in) throws IOException {
        return new SocketAddress(in.readUTF(), in.readInt());
    }

    private static List<Member> readMembers(DataInputStream in) throws IOException {
        List<Member> members = new ArrayList<>();
        for (int remaining = in.readInt(); remaining > 0; remaining--) {
            members.add(new Member(in.readUTF(), readAddress(in)));
        }
        return members;
    }

    private static byte[] write(Writer writer) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(FORMAT_VERSION);
            writer.write(out);
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory failed", e);
        }
        return bytes.toByteArray();
    }

    private static DataInputStream open(byte[] bytes) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
        int version = in.readByte();
        if (version != FORMAT_VERSION) {
            throw new IOException("unknown format " + version + "; this release reads " + FORMAT_VERSION);
        }
        return in;
    }
}
