package maplespread.registry.wire;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import maplespread.GoldenOutput;
import maplespread.registry.Ask;
import maplespread.registry.History;
import maplespread.registry.Item;
import org.junit.jupiter.api.Test;

/** Every request to a registry as it goes out, and what is read of its answers. */
class RegistryWireGoldenTest {
    private static final String HEADER = "\"header\":{\"cluster_id\":\"77\",\"revision\":\"42\",\"raft_term\":\"3\"}";
    private static final String WORKER =
            "{\"instanceId\":\"w-1\",\"hostPort\":\"10.0.0.1:80\",\"zone\":\"a\",\"cell\":3,\"startedAtMs\":5}";

    private final StringBuilder seen = new StringBuilder();

    private interface Call {
        Object answer() throws Exception;
    }

    private void request(String name, Request request) {
        seen.append("# ").append(name).append('\n').append(request.method()).append(' ');
        seen.append(request.target()).append('\n').append(request.body()).append("\n\n");
    }

    private void answer(String name, Call call) {
        String text;
        try {
            text = String.valueOf(call.answer());
        } catch (Exception e) {
            text = e.getClass() == WireError.class ? "error: " + e.getMessage() : "thrown: " + e;
        }
        // The JVM names a null local variable in its message: no text of this program.
        text = text.replaceAll("because \"\\w+\" is null", "because a variable is null");
        seen.append(name).append(" -> ").append(text).append('\n');
    }

    private static String base64(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String item(Item item) {
        if (item == null) {
            return "none";
        }
        String text;
        try {
            text = item.isDeleted() ? "deleted" : item.print() + " " + item.text();
        } catch (RuntimeException e) {
            text = "unreadable: " + e.getMessage();
        }
        return item.key() + '@' + item.revision() + ' ' + text;
    }

    private static List<String> items(List<Item> items) {
        return items.stream().map(RegistryWireGoldenTest::item).toList();
    }

    private static String history(History history) {
        return history.cluster() + '/' + history.revision() + '/' + history.term();
    }

    @Test
    void requestsToEtcd() throws Exception {
        List<String> prefixes = List.of("/a/", "/b\u00ff", "");
        request("first page", EtcdWire.range("/a/", "", 0, 1000));
        request("later page", EtcdWire.range("/a/", "/a/w-9", 42, 1));
        List<Ask.Proof> proofs = List.of(new Ask.Proof(41, "/a/w"), new Ask.Proof(42, null), new Ask.Proof(0, "k"));
        request("check", EtcdWire.check(prefixes, proofs, null, 0));
        request("check of a deleted key", EtcdWire.check(prefixes, proofs, "/a/x", 40));
        request("missed", EtcdWire.missed(prefixes, List.of(41L, 42L, 0L)));
        request("get", EtcdWire.get("/a/w-1", 0));
        request("get at a revision", EtcdWire.get("/a/w-1", 42));
        request("watch", EtcdWire.watch(prefixes, List.of(43L, 44L, 0L)));
        request("put", EtcdWire.put("/a/w-1", "{\"a\":1}", 0));
        request("put with a lease", EtcdWire.put("/a/w-1", "x", 7001));
        request("swap", EtcdWire.swap("/a/w-1", "{\"a\":\"\u00e9\"}", 42));
        request("delete", EtcdWire.delete("/a/w-1"));
        request("grant", EtcdWire.grant(10));
        request("keep alive", EtcdWire.keepAlive(7001));
        request("revoke", EtcdWire.revoke(7001));
        GoldenOutput.assertMatches("registry/etcd-requests.txt", seen.toString());
    }

    @Test
    void requestsToConsul() throws Exception {
        request("keys", ConsulWire.keys("a b/\u00e9", 0, 2000, false));
        request("keys, consistent", ConsulWire.keys("a", 0, 2000, true));
        request("keys, blocking", ConsulWire.keys("a", 42, 2000, false));
        request("health", ConsulWire.health("web+x", 0, 2000, false));
        request("health, blocking and consistent", ConsulWire.health("web", 42, 9000, true));
        request("get", ConsulWire.get("a/w-1"));
        request("put", ConsulWire.put("a/w-1", "x", -1, ""));
        request("put by index", ConsulWire.put("a/w-1", "x", 0, "s"));
        request("put by session", ConsulWire.put("a/w-1", "x", -1, "s-1"));
        request("delete", ConsulWire.delete("a/w-1"));
        request("session", ConsulWire.session(10));
        request("renew", ConsulWire.renew("s-1"));
        request("destroy", ConsulWire.destroy("s-1"));
        request("maintenance", ConsulWire.maintenance("w 1", true));
        request("maintenance ends", ConsulWire.maintenance("w-1", false));
        request("register", ConsulWire.register("web", "w-1", WORKER, 0));
        request("register with a check", ConsulWire.register("web", "w-1", "{\"hostPort\":\"[::1]:9\"}", 15));
        request("deregister", ConsulWire.deregister("w-1"));
        request("pass", ConsulWire.pass("w-1"));
        GoldenOutput.assertMatches("registry/consul-requests.txt", seen.toString());
    }

    private static String kv(String key, int revision, String value) {
        return "{\"key\":\"" + base64(key) + "\",\"mod_revision\":\"" + revision + "\""
                + (value == null ? "" : ",\"value\":\"" + value + "\"") + "}";
    }

    private static String ranged(String count, String... kvs) {
        return "{\"response_range\":{" + (count.isEmpty() ? "" : "\"count\":\"" + count + "\",") + "\"kvs\":["
                + String.join(",", kvs) + "]}}";
    }

    private void page(String body) {
        answer("page", () -> {
            EtcdWire.Page page = EtcdWire.page(body);
            return history(page.history()) + ' ' + items(page.items()) + ' ' + page.more();
        });
    }

    private void notice(String line) {
        answer("notice", () -> {
            EtcdWire.Notice n = EtcdWire.notice(line);
            return history(n.history()) + ' ' + n.watch() + ' ' + n.created() + ' ' + n.canceled() + ' '
                    + n.compactRevision() + " '" + n.reason() + "' " + n.fragment() + ' ' + items(n.items());
        });
    }

    @Test
    void answersOfEtcd() throws Exception {
        page("{" + HEADER + "}");
        page("{" + HEADER + ",\"more\":true,\"kvs\":[" + kv("/a/1", 7, base64("x")) + "," + kv("/a/2", 8, null) + ","
                + kv("/a/3", 9, "%%") + "]}");
        page("{}");
        page("[");
        List<Ask.Proof> proofs = List.of(new Ask.Proof(41, "/a/1"), new Ask.Proof(42, null), new Ask.Proof(43, "/c"));
        String responses = ranged("2") + "," + ranged("", kv("/a/1", 7, base64("x"))) + "," + ranged("") + ","
                + ranged("1") + "," + ranged("") + "," + ranged("", kv("/gone", 5, null));
        for (boolean gone : new boolean[] {false, true}) {
            answer("checked", () -> {
                EtcdWire.Checked c =
                        EtcdWire.checked("{" + HEADER + ",\"responses\":[" + responses + "]}", proofs, gone);
                return history(c.history()) + ' ' + c.counts() + ' ' + items(c.found()) + ' ' + c.gone();
            });
        }
        answer("checked", () -> EtcdWire.checked("{" + HEADER + ",\"responses\":[]}", proofs, true));
        answer("missed", () -> {
            EtcdWire.Missed m = EtcdWire.missed("{" + HEADER + ",\"responses\":[" + ranged("3") + ","
                    + ranged("", kv("/a/1", 9, base64("y"))) + "," + ranged("0") + "," + ranged("") + "]}");
            return history(m.history())
                    + ' '
                    + m.counts()
                    + ' '
                    + m.changed().stream().map(RegistryWireGoldenTest::items).toList();
        });
        answer("missed", () -> EtcdWire.missed("{" + HEADER + "}"));
        notice("{\"result\":{" + HEADER + ",\"created\":true,\"watch_id\":\"1\"}}");
        notice("{\"result\":{" + HEADER + ",\"watch_id\":\"2\",\"canceled\":true,\"compact_revision\":\"30\","
                + "\"cancel_reason\":\"compacted\"}}");
        notice("{\"result\":{" + HEADER + ",\"fragment\":true,\"events\":[{\"kv\":" + kv("/a/1", 9, base64("z"))
                + "},{\"type\":\"DELETE\",\"kv\":" + kv("/a/2", 10, null) + "}]}}");
        notice("{\"error\":{}}");
        String[] faults = {
            "{\"message\":\"etcdserver: mvcc: required revision has been compacted\"}",
            "{\"error\":\"etcdserver: mvcc: required revision is a future revision\"}",
            "{\"message\":\"etcdserver: permission denied\"}",
            "{\"message\":\"etcdserver: invalid auth token\"}",
            "{\"message\":\"etcdserver: user name is empty\"}",
            "{\"message\":\"else\"}",
            "no JSON"
        };
        for (String body : faults) {
            answer("fault", () -> EtcdWire.fault(400, body) + " " + EtcdWire.fault(403, body));
        }
        answer("lease", () -> EtcdWire.lease("{\"ID\":\"7001\"}") + " " + EtcdWire.lease("{}"));
        answer("lease", () -> EtcdWire.lease("x"));
        answer("left", () -> EtcdWire.left("{\"result\":{\"TTL\":\"9\"}}") + " " + EtcdWire.left("{\"result\":{}}"));
        answer("left", () -> EtcdWire.left("{}"));
        answer("swapped", () -> EtcdWire.swapped("{\"succeeded\":true}") + " " + EtcdWire.swapped("{}"));
        answer("swapped", () -> EtcdWire.swapped("[]"));
        GoldenOutput.assertMatches("registry/etcd-answers.txt", seen.toString());
    }

    private static String instance(String service, String... statuses) {
        String checks = String.join(
                ",",
                Arrays.stream(statuses)
                        .map(s -> "{\"Status\":\"" + s + "\",\"ModifyIndex\":12}")
                        .toList());
        return "[{\"Node\":{\"Node\":\"n1\",\"Address\":\"10.0.0.9\",\"ModifyIndex\":5},\"Service\":" + service
                + ",\"Checks\":[" + checks + "]}]";
    }

    @Test
    void answersOfConsul() throws Exception {
        String[] keys = {
            "",
            "[]",
            "[{\"Key\":\"a/1\",\"ModifyIndex\":7,\"Flags\":0,\"Value\":\"" + base64("x") + "\"},"
                    + "{\"Key\":\"a/2\",\"ModifyIndex\":8,\"Value\":null},{\"Key\":\"a/3\",\"ModifyIndex\":9,"
                    + "\"Value\":\"%\"}]",
            "[{\"Key\":\"a/1\"}]",
            "{}"
        };
        for (String body : keys) {
            answer("keys", () -> items(ConsulWire.keys(body)));
        }
        String bare = "{\"ID\":\"w-1\",\"Service\":\"web\",\"Port\":80,\"ModifyIndex\":10}";
        String full = "{\"ID\":\"w-2\",\"Service\":\"web\",\"Address\":\"10.0.0.1\",\"Port\":81,\"ModifyIndex\":20,"
                + "\"Weights\":{\"Passing\":3},\"Meta\":{\"zone\":\"a\",\"cell\":\"4\",\"machineType\":\"m\","
                + "\"startedAtMs\":\"5\",\"other\":\"x\"}}";
        answer("health", () -> items(ConsulWire.health("")));
        answer("health", () -> items(ConsulWire.health(instance(bare))));
        answer("health", () -> items(ConsulWire.health(instance(full, "passing", "warning"))));
        answer("health", () -> items(ConsulWire.health(instance(full, "passing", "critical"))));
        answer("health", () -> items(ConsulWire.health(instance("{}"))));
        answer("health", () -> items(ConsulWire.health("[1]")));
        answer("session", () -> ConsulWire.session("{\"ID\":\"s-1\"}"));
        answer("session", () -> ConsulWire.session("{}"));
        GoldenOutput.assertMatches("registry/consul-answers.txt", seen.toString());
    }
}
