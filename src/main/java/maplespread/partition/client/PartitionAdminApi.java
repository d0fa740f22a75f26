package maplespread.partition.client;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import maplespread.admin.AdminRoutes.AdminRequest;
import maplespread.admin.AdminRoutes.AdminResponse;
import maplespread.admin.AdminRoutes.Call;
import maplespread.config.Config;
import maplespread.config.PartitionSettings;
import maplespread.consensus.ChangeResult;
import maplespread.errors.FleetException;
import maplespread.partition.RoutingTable;
import maplespread.partition.SlotAssignment;
import maplespread.partition.client.PartitionCallException.Reason;
import maplespread.partition.client.PartitionService.ClusterHandle;

/**
 * The admin calls about partitions, which show the decided assignment and this member's state, replace the table and
 * start stopped keys. Runs on the admin server's threads; docs/operators/partition.md describes calls and responses.
 */
final class PartitionAdminApi {
    /** Longest time that a call waits for the decision of a change. */
    private static final long MAX_CALL_WAIT_MS = 1_900;

    /** Calls that may wait for a decision at the same time; further ones are rejected. */
    private static final int MAX_WAITING_CALLS = 4;

    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;
    private static final Gson GSON = new GsonBuilder().setPrettyPrinting().create();

    /** A call that changes the assignment. */
    private interface ChangingCall {
        AdminResponse execute(ClusterHandle handle, AdminRequest request) throws FleetException;
    }

    private final String name;
    private final Supplier<Config> config;
    private final PartitionEndpoints endpoints;
    private final Supplier<Optional<ClusterHandle>> joined;
    private final OrderingState state;
    private final AssignmentStore store;
    private final Semaphore permits = new Semaphore(MAX_WAITING_CALLS);

    PartitionAdminApi(
            String name,
            Supplier<Config> config,
            PartitionEndpoints endpoints,
            Supplier<Optional<ClusterHandle>> joined,
            OrderingState state,
            AssignmentStore store) {
        this.name = name;
        this.config = config;
        this.endpoints = endpoints;
        this.joined = joined;
        this.state = state;
        this.store = store;
    }

    /** The calls by method and path. */
    Map<String, Call> calls() {
        return Map.of(
                "GET /admin/partition",
                request -> new AdminResponse(OK, describe(request.query("key"))),
                "POST /admin/partition/table",
                changing(this::changeTable),
                "POST /admin/partition/start",
                changing(this::startKey));
    }

    // ------------------------------------------------------------ calls that change the assignment

    private Call changing(ChangingCall call) {
        return request -> {
            if (!permits.tryAcquire()) {
                return new AdminResponse(UNAVAILABLE, "other calls wait for the fleet");
            }
            try {
                return call.execute(requireHandle(), request);
            } catch (PartitionCallException e) {
                return new AdminResponse(e.status, e.getMessage());
            } catch (FleetException e) {
                return new AdminResponse(CONFLICT, e.getMessage());
            } finally {
                permits.release();
            }
        };
    }

    private ClusterHandle requireHandle() throws PartitionCallException {
        Optional<ClusterHandle> handle = joined.get();
        if (handle.isEmpty()) {
            throw new PartitionCallException(Reason.NOT_AGREED, name + " is not in the group yet");
        }
        if (state.assignment().isEmpty()) {
            throw new PartitionCallException(Reason.NOT_AGREED, name + " knows of no table that is agreed on yet");
        }
        return handle.get();
    }

    private AdminResponse startKey(ClusterHandle handle, AdminRequest request) throws FleetException {
        String key = request.query("key");
        if (key.isBlank()) {
            throw new PartitionCallException(Reason.BAD_CALL, "the call lacks ?key=");
        }
        AtomicBoolean wasStopped = new AtomicBoolean(); // set by the change, which may run repeatedly
        ChangeResult result = store.change(
                handle.register(),
                AssignmentSection.changing(assignment -> {
                    wasStopped.set(assignment.stoppedKeys().contains(key));
                    return assignment.startKey(key);
                }),
                MAX_CALL_WAIT_MS);
        return response(result, wasStopped.get() ? "starts" : "was not stopped");
    }

    private AdminResponse changeTable(ClusterHandle handle, AdminRequest request) throws FleetException {
        PartitionSettings.read(request.body(), config.get(), endpoints.workers());
        String next = ConfiguredTable.compress(request.body());
        SlotAssignment known = state.assignment().orElseThrow();
        if (!known.table().equals(next) && !state.mayChangeTable()) {
            throw new PartitionCallException(
                    Reason.SETTLING, "the change of epoch " + known.tableEpoch() + " still settles");
        }
        ChangeResult result = store.change(
                handle.register(),
                AssignmentSection.changing(assignment -> assignment.table(next, known.tableEpoch())),
                MAX_CALL_WAIT_MS);
        if (result.outcome() != ChangeResult.Outcome.DECIDED) {
            return response(result, "");
        }
        SlotAssignment decided = AssignmentSection.read(result.value()).orElseThrow();
        if (!decided.table().equals(next)) {
            throw new PartitionCallException(
                    Reason.SETTLING, "another table came first, as epoch " + decided.tableEpoch());
        }
        return response(result, "table of epoch " + decided.tableEpoch());
    }

    private static AdminResponse response(ChangeResult result, String successText) {
        return switch (result.outcome()) {
            case DECIDED -> new AdminResponse(OK, successText);
            case REJECTED -> new AdminResponse(CONFLICT, result.error().getMessage());
            case NO_MAJORITY -> new AdminResponse(UNAVAILABLE, result.error().getMessage());
        };
    }

    // ------------------------------------------------------------ decided assignment and state of this member

    /** The state as JSON, with the slot and owner of {@code key} unless it is blank. */
    private String describe(String key) {
        JsonObject json = new JsonObject();
        Optional<ClusterHandle> handle = joined.get();
        Optional<SlotAssignment> knownAssignment = state.assignment();
        json.addProperty("name", name);
        json.addProperty("member", handle.map(h -> h.member(name)).orElse(""));
        json.addProperty("joined", handle.isPresent());
        json.addProperty("lease", state.holdsLease());
        json.addProperty("waiting", state.lines().waitingCount());
        knownAssignment.ifPresent(assignment -> describe(assignment, key, json));
        return GSON.toJson(json);
    }

    private void describe(SlotAssignment assignment, String key, JsonObject json) {
        json.addProperty("version", assignment.version());
        json.addProperty("epoch", assignment.epoch());
        json.addProperty("table_since", assignment.tableEpoch());
        json.addProperty("may_change", state.mayChangeTable());
        json.add("members", sortedArray(assignment.members()));
        json.add("silent", sortedArray(assignment.silent().keySet()));
        JsonArray owners = new JsonArray();
        JsonObject previousOwners = new JsonObject();
        for (int i = 0; i < assignment.slots().size(); i++) {
            SlotAssignment.Slot slot = assignment.slots().get(i);
            owners.add(slot.owner().isEmpty() ? "" : SlotAssignment.dispatcherName(slot.owner()));
            if (!slot.previousOwners().isEmpty()) {
                previousOwners.add(
                        String.valueOf(i), sortedArray(slot.previousOwners().keySet()));
            }
        }
        json.add("slots", owners);
        json.add("open", GSON.toJsonTree(state.openSlots()));
        json.add("leavers", previousOwners);
        json.add("work_to_come_ms", waitingWork());
        json.add("stopped", sortedArray(assignment.stoppedKeys()));
        if (!key.isBlank()) {
            json.addProperty("slot", assignment.slotOf(key));
            json.add("owner", owners.get(assignment.slotOf(key)));
        }
        json.add("table", JsonParser.parseString(CompressedTable.decompress(assignment.table())));
    }

    private JsonObject waitingWork() {
        JsonObject work = new JsonObject();
        RoutingTable table = state.decidedTable().orElseThrow();
        table.partitions()
                .keySet()
                .forEach(partition -> work.addProperty(partition, state.lines().waitingWorkMs(partition)));
        return work;
    }

    private static JsonArray sortedArray(Collection<String> texts) {
        JsonArray json = new JsonArray();
        new TreeSet<>(texts).forEach(json::add);
        return json;
    }
}
