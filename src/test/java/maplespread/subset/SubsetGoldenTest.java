package maplespread.subset;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import maplespread.GoldenOutput;
import maplespread.policy.Tenant;
import maplespread.quota.TenantQuota;
import org.junit.jupiter.api.Test;

/** Which dispatcher uses which workers, and what requests count for: all dispatchers must compute it alike. */
class SubsetGoldenTest {
    private final StringBuilder seen = new StringBuilder();

    private void line(Object... parts) {
        for (Object part : parts) {
            seen.append(part).append(' ');
        }
        seen.append('\n');
    }

    private static List<String> workers(int count) {
        return IntStream.range(0, count).mapToObj(i -> "w-" + i).toList();
    }

    @Test
    void subsets() throws Exception {
        for (double width : new double[] {1, 2.5, 7, 12}) {
            for (int index : new int[] {0, 1, 5}) {
                line(index, width, DeterministicAperture.of(index, 6, width, workers(9), 42));
            }
        }
        line(List.of(DeterministicAperture.ordered(workers(12), 7)));
        line(CoverageStatistics.maxToMeanRatio(CoverageStatistics.loads(30, 8, workers(40), 3)));
        line(
                CoverageStatistics.movedShare(30, workers(40), 31, workers(40), 8, 3),
                CoverageStatistics.movedShare(30, workers(40), 30, workers(41), 8, 3));
        for (int index : new int[] {0, 3, 11}) {
            SubsetAssignment cut = new SubsetAssignment(index, 12, new SubsetAssignment.SubsetSettings(4, 3), 42);
            for (int i = 0; i < 30; i++) {
                cut.put("w-" + i, i % 7 == 0 ? 2 : i % 2);
            }
            line(index, cut.width(), cut.workers(), cut.maxDispatchersPerWorker());
            cut.remove("w-4");
            cut.put("w-5", 0);
            cut.resize(20, new SubsetAssignment.SubsetSettings(2.5, 6));
            line(index, cut.width(), cut.workers(), cut.maxDispatchersPerWorker());
        }
        GoldenOutput.assertMatches("subset/subsets.txt", seen.toString());
    }

    @Test
    void weightsOfRequests() throws Exception {
        List<Tenant> tenants = new ArrayList<>();
        for (double allowance : new double[] {40, 10, 0, 100}) {
            tenants.add(new Tenant(allowance));
        }
        TenantQuota shares = new TenantQuota(tenants);
        java.util.SplittableRandom random = new java.util.SplittableRandom(9);
        double now = 5;
        for (int id = 0; id < 700; id++) {
            now += random.nextInt(6);
            int tenant = Math.max(-1, random.nextInt(9) - 4);
            double weight = shares.weight(now, id, tenant, random.nextInt(5) != 0, 3);
            if (weight != 1) {
                line(id, tenant, weight);
            }
            if (random.nextInt(3) == 0) {
                shares.clientLeft(id);
            } else {
                shares.requestCompleted(id, random.nextInt(50) == 0);
            }
        }
        GoldenOutput.assertMatches("subset/shares.txt", seen.toString());
    }
}
