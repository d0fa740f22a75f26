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
 * The operators' calls about partitions: what is agreed and what this member has, a new table, the start of a
 * stopped key. Runs on the admin server's threads; docs/operators/partition.md describes calls and answers.
 */
final class PartitionAdminApi {
    /** A call that waits for the fleet waits no longer than this. */
    private static final long CALL_WAIT_MS = 1_900;

    private static final int MAX_WAITING_CALLS = 4;
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;
    private static final Gson GSON = new GsonBuilder().setPrettyPrinting().create();

    /** A call that has the assignment changed. */
    private interface ChangingCall {
        AdminResponse answer(ClusterHandle handle, AdminRequest request) throws FleetException;
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

    /** By method and path. */
    Map<String, Call> calls() {
        return Map.of(
                "GET /admin/partition",
                request -> new AdminResponse(OK, describe(request.query("key"))),
                "POST /admin/partition/table",
                changing(this::changeTable),
                "POST /admin/partition/start",
                changing(this::startKey));
    }

    // ------------------------------------------------------------ calls that change something

    private Call changing(ChangingCall call) {
        return request -> {
            if (!permits.tryAcquire()) {
                return new AdminResponse(UNAVAILABLE, "other calls wait for the fleet");
            }
            try {
                return call.answer(handleOnceAgreed(), request);
            } catch (PartitionCallException e) {
                return new AdminResponse(e.status, e.getMessage());
            } catch (FleetException e) {
                return new AdminResponse(CONFLICT, e.getMessage());
            } finally {
                permits.release();
            }
        };
    }

    private ClusterHandle handleOnceAgreed() throws PartitionCallException {
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
        AtomicBoolean wasStopped = new AtomicBoolean(); // by the value that the change is made of last
        ChangeResult result = store.change(
                handle.register(),
                AssignmentSection.changing(assignment -> {
                    wasStopped.set(assignment.stoppedKeys().contains(key));
                    return assignment.startKey(key);
                }),
                CALL_WAIT_MS);
        return response(result, wasStopped.get() ? "starts" : "was not stopped");
    }

    private AdminResponse changeTable(ClusterHandle handle, AdminRequest request) throws FleetException {
        PartitionSettings.read(request.body(), config.get(), endpoints.workers());
        String next = ConfiguredTable.compress(request.body());
        SlotAssignment known = state.assignment().orElseThrow();
        if (!known.table().equals(next) && !state.mayChange()) {
            throw new PartitionCallException(
                    Reason.SETTLING, "the change of epoch " + known.tableEpoch() + " still settles");
        }
        ChangeResult result = store.change(
                handle.register(),
                AssignmentSection.changing(assignment -> assignment.table(next, known.tableEpoch())),
                CALL_WAIT_MS);
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

    private static AdminResponse response(ChangeResult result, String textOnceDecided) {
        return switch (result.outcome()) {
            case DECIDED -> new AdminResponse(OK, textOnceDecided);
            case REJECTED -> new AdminResponse(CONFLICT, result.error().getMessage());
            case NO_MAJORITY -> new AdminResponse(UNAVAILABLE, result.error().getMessage());
        };
    }

    // ------------------------------------------------------------ what is agreed, and what this member has

    /** {@code key}: whose slot and owner are to be named; blank: none's. */
    private String describe(String key) {
        JsonObject all = new JsonObject();
        Optional<ClusterHandle> handle = joined.get();
        Optional<SlotAssignment> agreed = state.assignment();
        all.addProperty("name", name);
        all.addProperty("member", handle.map(h -> h.member(name)).orElse(""));
        all.addProperty("joined", handle.isPresent());
        all.addProperty("lease", state.holdsLease());
        all.addProperty("waiting", state.lines().waitingCount());
        agreed.ifPresent(assignment -> describe(assignment, key, all));
        return GSON.toJson(all);
    }

    private void describe(SlotAssignment assignment, String key, JsonObject all) {
        all.addProperty("version", assignment.version());
        all.addProperty("epoch", assignment.epoch());
        all.addProperty("table_since", assignment.tableEpoch());
        all.addProperty("may_change", state.mayChange());
        all.add("members", sorted(assignment.members()));
        all.add("silent", sorted(assignment.silent().keySet()));
        JsonArray owners = new JsonArray();
        JsonObject leavers = new JsonObject();
        for (int i = 0; i < assignment.slots().size(); i++) {
            SlotAssignment.Slot slot = assignment.slots().get(i);
            owners.add(slot.owner().isEmpty() ? "" : SlotAssignment.dispatcherName(slot.owner()));
            if (!slot.previousOwners().isEmpty()) {
                leavers.add(String.valueOf(i), sorted(slot.previousOwners().keySet()));
            }
        }
        all.add("slots", owners);
        all.add("open", GSON.toJsonTree(state.openSlots()));
        all.add("leavers", leavers);
        all.add("work_to_come_ms", waitingWork());
        all.add("stopped", sorted(assignment.stoppedKeys()));
        if (!key.isBlank()) {
            all.addProperty("slot", assignment.slotOf(key));
            all.add("owner", owners.get(assignment.slotOf(key)));
        }
        all.add("table", JsonParser.parseString(CompressedTable.decompress(assignment.table())));
    }

    private JsonObject waitingWork() {
        JsonObject work = new JsonObject();
        RoutingTable table = state.agreedTable().orElseThrow();
        table.partitions()
                .keySet()
                .forEach(partition -> work.addProperty(partition, state.lines().waitingWorkMs(partition)));
        return work;
    }

    private static JsonArray sorted(Collection<String> texts) {
        JsonArray all = new JsonArray();
        new TreeSet<>(texts).forEach(all::add);
        return all;
    }
}
