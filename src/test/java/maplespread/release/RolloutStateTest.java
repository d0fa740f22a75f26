package maplespread.release;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import maplespread.release.FleetView.Member;
import maplespread.release.FleetView.Role;
import maplespread.release.FleetView.Status;
import org.junit.jupiter.api.Test;

/** The text form of the state. */
class RolloutStateTest extends ReleaseFixture {
    @Test
    void fitsALargeFleetIntoTheRegister() throws ReleaseRejectedException {
        for (int i = 0; i < 600; i++) {
            Role role = i < 200 ? Role.DISPATCHER : Role.WORKER;
            fleet.put(
                    "m" + i,
                    new Member(
                            "m" + i,
                            "10.1." + i % 7 + "." + i % 251 + ":" + (7000 + i),
                            role,
                            "z" + i % 5,
                            "kind" + i % 3,
                            "cell" + i % 11,
                            1_760_000_000_000L + i * 7919L,
                            "1",
                            Status.SERVING,
                            9 + i % 13,
                            true));
        }
        beginRelease();
        assertEquals(607, state.members().size());
        assertTrue(state.toText().length() < 32 * 1024, state.toText().length() + " bytes");
        assertEquals(state, RolloutState.parse(state.toText()));
    }
}
