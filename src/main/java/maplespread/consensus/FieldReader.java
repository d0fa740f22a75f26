package maplespread.consensus;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import maplespread.consensus.RegisterState.AppliedChange;

/**
 * Reads the fields of a message from bytes that may be corrupt. Every method throws a {@link RuntimeException} if the
 * bytes end too early or contain an invalid value.
 */
final class FieldReader {
    private final ByteBuffer in;

    FieldReader(byte[] bytes) {
        in = ByteBuffer.wrap(bytes);
    }

    byte getByte() {
        return in.get();
    }

    long getLong() {
        return in.getLong();
    }

    boolean hasRemaining() {
        return in.hasRemaining();
    }

    String getText() {
        int length = in.getInt();
        if (length < 0 || length > in.remaining()) { // checked before the array is allocated
            throw new IllegalArgumentException("text length " + length + " is negative or exceeds the remaining bytes");
        }
        byte[] bytes = new byte[length];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    List<String> getTexts() {
        List<String> texts = new ArrayList<>();
        for (int remaining = in.getInt(); remaining > 0; remaining--) {
            texts.add(getText());
        }
        return texts;
    }

    Map<String, Long> getIncarnations() {
        Map<String, Long> incarnations = new TreeMap<>();
        for (int remaining = in.getInt(); remaining > 0; remaining--) {
            String name = getText();
            incarnations.put(name, in.getLong());
        }
        return incarnations;
    }

    Ballot getBallot() {
        long epoch = in.getLong();
        long round = in.getLong();
        long incarnation = in.getLong();
        return new Ballot(epoch, round, getText(), incarnation);
    }

    Digest getDigest() {
        return new Digest(in.getLong(), in.getLong());
    }

    /** Reads the number of digests as one byte, then the digests. */
    List<Digest> getDigests() {
        List<Digest> digests = new ArrayList<>();
        for (int remaining = in.get(); remaining > 0; remaining--) {
            digests.add(getDigest());
        }
        return digests;
    }

    RegisterState getState() {
        long epoch = in.getLong();
        long version = in.getLong();
        long electorsVersion = in.getLong();
        VersionedValue value = new VersionedValue(epoch, version, getText(), electorsVersion, getTexts());
        List<String> previousElectors = getTexts();
        List<AppliedChange> applied = new ArrayList<>();
        for (int remaining = in.getInt(); remaining > 0; remaining--) {
            applied.add(new AppliedChange(getText(), in.getLong(), in.getLong(), in.getLong()));
        }
        return new RegisterState(value, previousElectors, applied);
    }
}
