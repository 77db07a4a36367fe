package pinewick.storage;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import pinewick.model.SocketAddress;
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
            out.writeUTF(member.address().host());
            out.writeInt(member.address().port());
        }
    }

    private static List<Member> readMembers(DataInputStream in) throws IOException {
        List<Member> members = new ArrayList<>();
        for (int remaining = in.readInt(); remaining > 0; remaining--) {
            members.add(new Member(in.readUTF(), new SocketAddress(in.readUTF(), in.readInt())));
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
