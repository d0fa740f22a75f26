package maplespread.consensus;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import maplespread.consensus.RegisterState.AppliedChange;

/** Writes the fields of a message as bytes, in big-endian order. */
final class FieldWriter {
    private static final int INITIAL_BYTES = 512;

    private byte[] bytes = new byte[INITIAL_BYTES];
    private int length;

    private void ensureCapacity(int added) {
        if (length + added > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(2 * bytes.length, length + added));
        }
    }

    FieldWriter putByte(int value) {
        ensureCapacity(Byte.BYTES);
        bytes[length++] = (byte) value;
        return this;
    }

    FieldWriter putInt(int value) {
        ensureCapacity(Integer.BYTES);
        for (int shift = Integer.SIZE - Byte.SIZE; shift >= 0; shift -= Byte.SIZE) {
            bytes[length++] = (byte) (value >>> shift);
        }
        return this;
    }

    FieldWriter putLong(long value) {
        return putInt((int) (value >>> Integer.SIZE)).putInt((int) value);
    }

    /** Writes the number of bytes, then the text as UTF-8. */
    FieldWriter putText(String text) {
        byte[] encoded = text.getBytes(StandardCharsets.UTF_8);
        putInt(encoded.length);
        ensureCapacity(encoded.length);
        System.arraycopy(encoded, 0, bytes, length, encoded.length);
        length += encoded.length;
        return this;
    }

    FieldWriter putTexts(List<String> texts) {
        putInt(texts.size());
        texts.forEach(this::putText);
        return this;
    }

    FieldWriter putIncarnations(Map<String, Long> incarnations) {
        putInt(incarnations.size());
        incarnations.forEach((name, incarnation) -> putText(name).putLong(incarnation));
        return this;
    }

    FieldWriter putBallot(Ballot ballot) {
        return putLong(ballot.epoch())
                .putLong(ballot.round())
                .putLong(ballot.incarnation())
                .putText(ballot.proposer());
    }

    FieldWriter putDigest(Digest digest) {
        return putLong(digest.high()).putLong(digest.low());
    }

    FieldWriter putState(RegisterState state) {
        VersionedValue value = state.value();
        putLong(value.epoch()).putLong(value.version()).putLong(value.electorsVersion());
        putText(value.text()).putTexts(value.electors());
        putTexts(state.previousElectors());
        putInt(state.appliedChanges().size());
        for (AppliedChange change : state.appliedChanges()) {
            putText(change.proposer());
            putLong(change.incarnation()).putLong(change.number()).putLong(change.version());
        }
        return this;
    }

    byte[] toBytes() {
        return Arrays.copyOf(bytes, length);
    }
}
