package maplespread.consensus;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import maplespread.consensus.RegisterState.AppliedChange;

/**
 * Reads the fields of a message from bytes that may be damaged: every method throws a {@link RuntimeException} where
 * the bytes end too early or name something that does not exist.
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
        if (length < 0 || length > in.remaining()) { // checked before memory is allocated for it
            throw new IllegalArgumentException("a text of " + length + " bytes");
        }
        byte[] bytes = new byte[length];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    List<String> getTexts() {
        List<String> texts = new ArrayList<>();
        for (int left = in.getInt(); left > 0; left--) {
            texts.add(getText());
        }
        return texts;
    }

    Map<String, Long> getIncarnations() {
        Map<String, Long> incarnations = new TreeMap<>();
        for (int left = in.getInt(); left > 0; left--) {
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

    /** A number of digests that takes one byte, then these. */
    List<Digest> getDigests() {
        List<Digest> digests = new ArrayList<>();
        for (int left = in.get(); left > 0; left--) {
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
        for (int left = in.getInt(); left > 0; left--) {
            applied.add(new AppliedChange(getText(), in.getLong(), in.getLong(), in.getLong()));
        }
        return new RegisterState(value, previousElectors, applied);
    }
}
