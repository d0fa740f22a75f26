package maplespread.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import maplespread.policy.DeduplicationScope;
import maplespread.policy.Idempotency;
import maplespread.policy.PlatformRules;
import maplespread.policy.PolicySettings;
import maplespread.policy.RequestClass;
import maplespread.policy.SitePermissions;
import maplespread.policy.Tenant;

/** Reads the settings' flat paths; what is absent gets a neutral value. */
public final class SettingsPathReader {
    private final Map<String, String> f;

    private SettingsPathReader(Map<String, String> f) {
        this.f = f;
    }

    public static PolicySettings read(Map<String, String> facts) {
        return new SettingsPathReader(facts).settings();
    }

    private PolicySettings settings() {
        List<RequestClass> classes = new ArrayList<>();
        int count = (int) num("classes.count", 0);
        for (int i = 0; i < count; i++) {
            classes.add(clazz(i));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < (int) num("customers.count", 0); i++) {
            tenants.add(new Tenant(num("customers." + i + ".allowancePerS", 0)));
        }
        boolean pause = is("permissions.retryAfter");
        var allow = new SitePermissions(
                is("permissions.cancel"),
                is("permissions.probing"),
                is("permissions.secondCopies"),
                (int) num("permissions.tryLimit", 1),
                num("permissions.dialTimeoutMs", 250),
                pause ? num("permissions.maxRetryAfterMs", 0) : 0,
                num("permissions.connIdleMs", 0));
        var rules = new PlatformRules(
                num("rules.drainGraceMs", 0),
                num("rules.askWithinMs", 10000),
                num("rules.coldFrom", 0.1),
                num("rules.warmWithinMs", 30000),
                num("rules.fallMultiple", 1),
                num("rules.fallMs", 1000),
                num("rules.answerSlackMs", 0));
        return new PolicySettings(
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

    private RequestClass clazz(int i) {
        String p = "classes." + i + ".";
        double stretch = num(p + "aimStretch", element("domain.classStretch", i, 0));
        Idempotency effect =
                switch (text(p + "effect", "non_idempotent")) {
                    case "read_like" -> Idempotency.READ_LIKE;
                    case "idempotency_key" -> Idempotency.IDEMPOTENCY_KEY;
                    default -> Idempotency.NON_IDEMPOTENT;
                };
        DeduplicationScope group =
                switch (text(p + "dedupScope", "cell")) {
                    case "all" -> DeduplicationScope.ALL;
                    case "zone" -> DeduplicationScope.ZONE;
                    default -> DeduplicationScope.CELL;
                };
        return new RequestClass(
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
