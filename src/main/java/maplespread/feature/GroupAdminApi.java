package maplespread.feature;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import maplespread.admin.AdminRoutes.AdminRequest;
import maplespread.admin.AdminRoutes.AdminResponse;
import maplespread.admin.AdminRoutes.Call;
import maplespread.consensus.ChangeResult;
import maplespread.consensus.VersionedValue;
import maplespread.log.Event;
import maplespread.membership.MemberUpdate;

/** The admin calls about the group. docs/operators/fleet.md describes them. */
final class GroupAdminApi {
    /** The longest that a call waits for a majority. */
    private static final long CALL_TIMEOUT_MS = 1_900;

    private static final Gson GSON = new GsonBuilder().setPrettyPrinting().create();

    private final String self;
    private final Supplier<JoinedGroup> joined;
    private final Supplier<List<String>> configuredElectors;

    /** {@code joined}: gives null before this instance is in the group. */
    GroupAdminApi(String self, Supplier<JoinedGroup> joined, Supplier<List<String>> configuredElectors) {
        this.self = self;
        this.joined = joined;
        this.configuredElectors = configuredElectors;
    }

    /** By method and path. */
    Map<String, Call> routes() {
        return Map.of(
                "GET /admin/group",
                request -> new AdminResponse(200, status()),
                "POST /admin/group/found",
                this::bootstrap);
    }

    /** After a majority of electors has restarted at once: the electors of the operators' file begin anew. */
    private AdminResponse bootstrap(AdminRequest request) {
        JoinedGroup group = joined.get();
        String why = request.query("why");
        if (why.isBlank()) {
            return new AdminResponse(400, "the call lacks ?why=; what is agreed so far may be lost by it");
        }
        if (group == null) {
            return new AdminResponse(503, self + " is not in the group yet: look for group.not_joined in the log");
        }
        List<String> electors = configuredElectors.get();
        Event.of("group.bootstrapped", "by", self, "why", why, "electors", electors)
                .warn();
        ChangeResult result = group.register().bootstrap(electors, CALL_TIMEOUT_MS);
        return switch (result.outcome()) {
            case DECIDED ->
                new AdminResponse(200, "begun anew as " + result.value().epoch());
            case REJECTED -> new AdminResponse(409, result.error().getMessage());
            case NO_MAJORITY -> new AdminResponse(503, result.error().getMessage());
        };
    }

    private String status() {
        JoinedGroup group = joined.get();
        JsonObject status = new JsonObject();
        status.addProperty("name", self);
        status.addProperty("joined", group != null);
        if (group != null) {
            addRegister(status, group);
            addMembers(status, group);
            status.add("dropped", GSON.toJsonTree(group.transport().dropped()));
            status.add("values_sent", GSON.toJsonTree(group.register().valuesSent()));
            status.add("traffic", GSON.toJsonTree(group.transport().traffic().byChannel()));
        }
        return GSON.toJson(status);
    }

    private void addRegister(JsonObject status, JoinedGroup group) {
        VersionedValue value = group.register().decidedValue();
        status.addProperty("run", group.transport().incarnation());
        status.addProperty("blind", group.register().recovering());
        status.addProperty("epoch", value == null ? 0 : value.epoch());
        status.addProperty("version", value == null ? 0 : value.version());
        JsonArray electors = new JsonArray();
        (value == null ? configuredElectors.get() : value.electors()).forEach(electors::add);
        status.add("electors", electors);
    }

    private static void addMembers(JsonObject status, JoinedGroup group) {
        JsonArray members = new JsonArray();
        for (MemberUpdate update : group.transport().members()) {
            JsonObject member = new JsonObject();
            member.addProperty("name", update.name());
            member.addProperty("state", update.state().name());
            member.addProperty("address", update.address());
            member.addProperty("run", update.processIncarnation());
            group.statuses().find(update.name()).ifPresent(received -> {
                member.addProperty("phase", received.status().phase().name());
                member.addProperty("version", received.status().version());
                member.addProperty("heard_ms_ago", GroupFeature.nowMs() - received.receivedAtMs());
            });
            members.add(member);
        }
        status.add("members", members);
    }
}
