package maplespread.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import maplespread.policy.Dispatch;

/** Reads the settings' flat paths; what is absent gets a neutral value. */
public final class SettingsPathReader {
    private final Map<String, String> f;

    private SettingsPathReader(Map<String, String> f) {
        this.f = f;
    }

    public static Dispatch.PolicySettings read(Map<String, String> facts) {
        return new SettingsPathReader(facts).settings();
    }

    private Dispatch.PolicySettings settings() {
        List<Dispatch.RequestClass> classes = new ArrayList<>();
        int count = (int) num("classes.count", 0);
        for (int i = 0; i < count; i++) {
            classes.add(clazz(i));
        }
        List<Dispatch.Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < (int) num("customers.count", 0); i++) {
            tenants.add(new Dispatch.Tenant(num("customers." + i + ".allowancePerS", 0)));
        }
        boolean pause = is("permissions.retryAfter");
        var allow = new Dispatch.SitePermissions(
                is("permissions.cancel"),
                is("permissions.probing"),
                is("permissions.secondCopies"),
                (int) num("permissions.tryLimit", 1),
                num("permissions.dialTimeoutMs", 250),
                pause ? num("permissions.maxRetryAfterMs", 0) : 0,
                num("permissions.connIdleMs", 0));
        var rules = new Dispatch.PlatformRules(
                num("rules.drainGraceMs", 0),
                num("rules.askWithinMs", 10000),
                num("rules.coldFrom", 0.1),
                num("rules.warmWithinMs", 30000),
                num("rules.fallMultiple", 1),
                num("rules.fallMs", 1000),
                num("rules.answerSlackMs", 0));
        return new Dispatch.PolicySettings(
                (int) num("balancers", 1),
                (int) num("index", 0),
                (int) num("zone", 0),
                text("discovery", "push").equals("ask"),
                text("valueBy", "request").equals("work"),
                is("domain.tellsStart"),
                num("domain.progressMs", 0),
                text("domain.queueOrder", "").equals("fifo"),
                num("tickMs", 1),
                num("overShareWorth", 1),
                num("penalties.crossZone", 0),
                classes,
                tenants,
                allow,
                rules);
    }

    private Dispatch.RequestClass clazz(int i) {
        String p = "classes." + i + ".";
        double stretch = num(p + "aimStretch", element("domain.classStretch", i, 0));
        Dispatch.Idempotency effect =
                switch (text(p + "effect", "non_idempotent")) {
                    case "read_like" -> Dispatch.Idempotency.READ_LIKE;
                    case "idempotency_key" -> Dispatch.Idempotency.IDEMPOTENCY_KEY;
                    default -> Dispatch.Idempotency.NON_IDEMPOTENT;
                };
        Dispatch.DeduplicationScope group =
                switch (text(p + "dedupScope", "cell")) {
                    case "all" -> Dispatch.DeduplicationScope.ALL;
                    case "zone" -> Dispatch.DeduplicationScope.ZONE;
                    default -> Dispatch.DeduplicationScope.CELL;
                };
        return new Dispatch.RequestClass(
                num(p + "aimMs", 1000),
                stretch,
                num(p + "deadlineMs", 10000),
                num(p + "worth", 1),
                num(p + "lateShare", 0),
                effect,
                group,
                num(p + "repeatWindowMs", 0),
                is(p + "streaming"),
                (int) element("domain.classKind", i, -1));
    }

    private double element(String key, int i, double otherwise) {
        String[] all = text(key, "").split(",");
        return i < all.length && !all[i].isEmpty() ? parse(all[i], key) : otherwise;
    }

    private double num(String key, double otherwise) {
        String v = f.get(key);
        return v == null || v.isEmpty() ? otherwise : parse(v, key);
    }

    private static double parse(String v, String key) {
        try {
            return Double.parseDouble(v);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("not a number: " + key);
        }
    }

    private boolean is(String key) {
        String v = f.getOrDefault(key, "false");
        return v.equals("true") || v.equals("1");
    }

    private String text(String key, String otherwise) {
        return f.getOrDefault(key, otherwise);
    }
}
