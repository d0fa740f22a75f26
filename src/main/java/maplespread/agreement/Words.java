package maplespread.agreement;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import maplespread.agreement.Kept.Done;
import maplespread.agreement.Kept.Held;
import maplespread.agreement.Word.Kind;

/** Words as bytes. */
public final class Words {
    private static final byte VERSION = 1;
    private static final int FIXED = 256; // beside texts, more than enough

    private Words() {}

    public static byte[] bytes(Word w) {
        ByteBuffer out = ByteBuffer.allocate(size(w));
        out.put(VERSION).put((byte) w.kind().ordinal());
        text(out, w.from());
        out.putLong(w.boot());
        runs(out, w.runs());
        ballot(out, w.ballot());
        ballot(out, w.promised());
        out.put((byte) ((w.blind() ? 1 : 0) | (w.founding() ? 2 : 0) | (w.held() != null ? 4 : 0)));
        out.putLong(w.asker());
        texts(out, w.electors());
        runs(out, w.quorum());
        if (w.held() != null) {
            ballot(out, w.held().at());
            Value v = w.held().kept().value();
            out.putLong(v.epoch()).putLong(v.version()).putLong(v.electorsNumber());
            text(out, v.text());
            texts(out, v.electors());
            texts(out, w.held().kept().before());
            out.putInt(w.held().kept().done().size());
            for (Done d : w.held().kept().done()) {
                text(out, d.name());
                out.putLong(d.boot()).putLong(d.number()).putLong(d.version());
            }
        }
        return java.util.Arrays.copyOf(out.array(), out.position());
    }

    /** Null where it is not a word. */
    public static Word read(byte[] bytes) {
        try {
            ByteBuffer in = ByteBuffer.wrap(bytes);
            if (in.get() != VERSION) {
                return null;
            }
            Kind kind = Kind.values()[in.get()];
            String from = text(in);
            long boot = in.getLong();
            Map<String, Long> runs = runs(in);
            Ballot ballot = ballot(in);
            Ballot promised = ballot(in);
            byte flags = in.get();
            long asker = in.getLong();
            List<String> electors = texts(in);
            Map<String, Long> quorum = runs(in);
            Held held = (flags & 4) == 0 ? null : held(in);
            return in.hasRemaining()
                    ? null
                    : new Word(
                            kind,
                            from,
                            boot,
                            runs,
                            ballot,
                            promised,
                            (flags & 1) != 0,
                            (flags & 2) != 0,
                            asker,
                            electors,
                            quorum,
                            held);
        } catch (RuntimeException e) { // ends inside a member, or names none
            return null;
        }
    }

    private static Held held(ByteBuffer in) {
        Ballot at = ballot(in);
        long epoch = in.getLong();
        long version = in.getLong();
        long number = in.getLong();
        Value value = new Value(epoch, version, text(in), number, texts(in));
        List<String> before = texts(in);
        List<Done> done = new ArrayList<>();
        for (int n = in.getInt(); n > 0; n--) {
            done.add(new Done(text(in), in.getLong(), in.getLong(), in.getLong()));
        }
        return new Held(at, new Kept(value, before, done));
    }

    private static int size(Word w) {
        int size = FIXED
                + 3
                        * (w.from().length()
                                + w.ballot().name().length()
                                + w.promised().name().length());
        for (Map<String, Long> m : List.of(w.runs(), w.quorum())) {
            size += m.keySet().stream().mapToInt(n -> 12 + 3 * n.length()).sum();
        }
        size += size(w.electors());
        if (w.held() != null) {
            Kept k = w.held().kept();
            size += 3 * (w.held().at().name().length() + k.value().text().length());
            size += size(k.value().electors()) + size(k.before());
            size += k.done().stream().mapToInt(d -> 28 + 3 * d.name().length()).sum();
        }
        return size;
    }

    private static int size(List<String> texts) {
        return texts.stream().mapToInt(t -> 4 + 3 * t.length()).sum();
    }

    private static void ballot(ByteBuffer out, Ballot b) {
        out.putLong(b.epoch()).putLong(b.round()).putLong(b.boot());
        text(out, b.name());
    }

    private static Ballot ballot(ByteBuffer in) {
        long epoch = in.getLong();
        long round = in.getLong();
        long boot = in.getLong();
        return new Ballot(epoch, round, text(in), boot);
    }

    private static void runs(ByteBuffer out, Map<String, Long> runs) {
        out.putInt(runs.size());
        runs.forEach((name, boot) -> {
            text(out, name);
            out.putLong(boot);
        });
    }

    private static Map<String, Long> runs(ByteBuffer in) {
        Map<String, Long> runs = new TreeMap<>();
        for (int n = in.getInt(); n > 0; n--) {
            String name = text(in);
            runs.put(name, in.getLong());
        }
        return runs;
    }

    private static void texts(ByteBuffer out, List<String> texts) {
        out.putInt(texts.size());
        texts.forEach(t -> text(out, t));
    }

    private static List<String> texts(ByteBuffer in) {
        List<String> texts = new ArrayList<>();
        for (int n = in.getInt(); n > 0; n--) {
            texts.add(text(in));
        }
        return texts;
    }

    private static void text(ByteBuffer out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.putInt(bytes.length).put(bytes);
    }

    private static String text(ByteBuffer in) {
        int length = in.getInt();
        if (length < 0 || length > in.remaining()) { // before anything of that size is made
            throw new IllegalArgumentException("a text of " + length);
        }
        byte[] bytes = new byte[length];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
