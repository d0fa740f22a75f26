package maplespread.subset;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import maplespread.GoldenOutput;
import maplespread.policy.Tenant;
import maplespread.quota.TenantQuota;
import org.junit.jupiter.api.Test;

/** Records which dispatcher uses which workers, and requests' weights: all dispatchers must compute the same. */
class SubsetGoldenTest {
    private final StringBuilder output = new StringBuilder();

    private void line(Object... parts) {
        for (Object part : parts) {
            output.append(part).append(' ');
        }
        output.append('\n');
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
            SubsetAssignment assignment =
                    new SubsetAssignment(index, 12, new SubsetAssignment.SubsetSettings(4, 3), 42);
            for (int i = 0; i < 30; i++) {
                assignment.put("w-" + i, i % 7 == 0 ? 2 : i % 2);
            }
            line(index, assignment.width(), assignment.workers(), assignment.maxDispatchersPerWorker());
            assignment.remove("w-4");
            assignment.put("w-5", 0);
            assignment.resize(20, new SubsetAssignment.SubsetSettings(2.5, 6));
            line(index, assignment.width(), assignment.workers(), assignment.maxDispatchersPerWorker());
        }
        GoldenOutput.assertMatches("subset/subsets.txt", output.toString());
    }

    @Test
    void weightsOfRequests() throws Exception {
        List<Tenant> tenants = new ArrayList<>();
        for (double quotaPerSecond : new double[] {40, 10, 0, 100}) {
            tenants.add(new Tenant(quotaPerSecond));
        }
        TenantQuota quota = new TenantQuota(tenants);
        java.util.SplittableRandom random = new java.util.SplittableRandom(9);
        double nowMs = 5;
        for (int id = 0; id < 700; id++) {
            nowMs += random.nextInt(6);
            int tenant = Math.max(-1, random.nextInt(9) - 4);
            double weight = quota.weight(nowMs, id, tenant, random.nextInt(5) != 0, 3);
            if (weight != 1) {
                line(id, tenant, weight);
            }
            if (random.nextInt(3) == 0) {
                quota.clientLeft(id);
            } else {
                quota.requestCompleted(id, random.nextInt(50) == 0);
            }
        }
        GoldenOutput.assertMatches("subset/shares.txt", output.toString());
    }
}
