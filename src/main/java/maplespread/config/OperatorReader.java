package maplespread.config;

import java.util.ArrayList;
import java.util.List;
import maplespread.registry.RegistrySettings;
import maplespread.registry.RegistrySettings.Dialect;
import maplespread.routes.RouteReader;
import maplespread.subset.Cut;

/**
 * The one place where the operators' own file is read, checked and given defaults. docs/operators/registry.md
 * has every key.
 */
public final class OperatorReader {
    private OperatorReader() { }

    /** From the file, or {@link Operator#NONE} where none is named. */
    public static Operator file(String file) throws ConfigError {
        return file == null || file.isEmpty() ? Operator.NONE : read(Checked.file(file, "operator"));
    }

    /** From the file's text. */
    public static Operator text(String text) throws ConfigError {
        return read(Checked.text(text, "operator"));
    }

    private static Operator read(Checked root) throws ConfigError {
        Checked log = root.part("log");
        boolean json = log.oneOf("form", "text", List.of("text", "json")).equals("json");
        RegistrySettings registry = root.has("registry") ? registry(root.part("registry")) : null;
        Cut.Wish subset = null;
        if (root.has("subset")) {
            Checked in = root.part("subset");
            subset = new Cut.Wish(in.whole("sharers", 10, 1, 100_000), in.whole("least", 20, 1, 1_000_000));
        }
        boolean fair = root.part("shares").oneOf("beyond", "as_any", List.of("as_any", "give_way"))
            .equals("give_way");
        root.end();
        return new Operator(json, registry, subset, fair);
    }

    private static RegistrySettings registry(Checked in) throws ConfigError {
        String word = in.oneOf("dialect", null, List.of("etcd", "consul-kv", "consul-health"));
        Dialect dialect = Dialect.valueOf(word.toUpperCase(java.util.Locale.ROOT).replace('-', '_'));
        List<String> endpoints = in.strings("endpoints");
        for (String endpoint : endpoints) {
            try {
                RouteReader.address(endpoint);
            } catch (IllegalArgumentException e) {
                throw in.error("endpoints", e.getMessage());
            }
        }
        List<String> follow = in.strings("follow");
        List<String> inOrder = new ArrayList<>(follow);
        inOrder.sort(null);
        for (int i = 1; i < inOrder.size() && dialect != Dialect.CONSUL_HEALTH; i++) {
            if (inOrder.get(i).startsWith(inOrder.get(i - 1))) {
                throw in.error("follow", inOrder.get(i) + " lies within " + inOrder.get(i - 1));
            }
        }
        long dial = in.whole("dial_ms", RegistrySettings.DIAL_MS, 1, 60_000);
        long silence = in.whole("silence_ms", RegistrySettings.SILENCE_MS, 10, 3_600_000);
        long wait = in.whole("wait_ms", RegistrySettings.waitFor(endpoints.size()), 100, 600_000);
        long answer = in.whole("answer_ms", RegistrySettings.answerFor(dialect, endpoints.size(),
            follow.size(), dial, silence, wait), 10, 600_000);
        RegistrySettings settings = new RegistrySettings(dialect, endpoints, follow,
            in.string("token_file", ""),
            (int) in.whole("page", 1000, 1, 100_000),
            (int) in.whole("requests_per_s", 2000, 1, 1_000_000),
            dial, answer, silence, wait,
            in.whole("prefer_again_ms", 30_000, 100, 86_400_000),
            in.whole("restore_after_ms", 3000, 0, 3_600_000),
            in.whole("forget_after_ms", 15_000, 0, 3_600_000),
            in.whole("not_ready_after_ms", 60_000, 0, 86_400_000));
        String late = settings.tooLate();
        if (late != null) {
            throw in.error(late, late.equals("requests_per_s")
                ? "less than one request in answer_ms (" + answer + ")"
                : "after a silence the new word may take " + settings.worstMs() + " ms with dial_ms " + dial
                    + ", answer_ms " + answer + (dialect == Dialect.ETCD ? ", silence_ms " + silence
                    : ", wait_ms " + wait) + ", " + endpoints.size()
                    + " endpoints and " + follow.size() + " to follow; at most " + settings.clockMs()
                    + " are allowed");
        }
        if (settings.notReadyAfterMs() > 0 && settings.notReadyAfterMs() < settings.clockMs()) {
            throw in.error("not_ready_after_ms", "must be 0 or at least " + settings.clockMs()
                + ", within which a sound registry may rightly be silent");
        }
        return settings;
    }
}
