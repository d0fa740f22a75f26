package maplespread.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The listed workers by consecutive indices, with a capacity and a cost for each. A change of the endpoint list takes
 * constant time, whatever the number of workers: the last worker takes the index of a removed one. Decides nothing.
 */
final class WorkerTable {
    private static final int EXTRA_CAPACITY = 8;

    private final List<Worker> workers = new ArrayList<>();
    private double[] capacities = {};
    private double[] costs = {};
    private double totalCapacity;

    int size() {
        return workers.size();
    }

    Worker get(int index) {
        return workers.get(index);
    }

    /** All listed workers, by index. */
    List<Worker> all() {
        return workers;
    }

    /** Adds a worker, unless it is in the table. */
    void add(Worker worker) {
        if (worker.isListed()) {
            return;
        }
        worker.tableIndex = workers.size();
        workers.add(worker);
        if (worker.tableIndex >= capacities.length) {
            capacities = Arrays.copyOf(capacities, 2 * worker.tableIndex + EXTRA_CAPACITY);
            costs = Arrays.copyOf(costs, capacities.length);
        }
    }

    /** Removes a worker, if it is in the table. */
    void remove(Worker worker) {
        if (!worker.isListed()) {
            return;
        }
        setCapacity(worker, 0);
        int index = worker.tableIndex;
        Worker last = workers.remove(workers.size() - 1);
        if (last != worker) {
            workers.set(index, last);
            capacities[index] = capacities[last.tableIndex];
            costs[index] = costs[last.tableIndex];
            capacities[last.tableIndex] = 0;
            last.tableIndex = index;
        }
        worker.tableIndex = Worker.NOT_LISTED;
    }

    /** Sets the worker's capacity and updates the total; does nothing for a worker that is not in the table. */
    void setCapacity(Worker worker, double capacity) {
        if (worker.isListed()) {
            totalCapacity += capacity - capacities[worker.tableIndex];
            capacities[worker.tableIndex] = capacity;
        }
    }

    double capacity(int index) {
        return capacities[index];
    }

    /** The sum of all capacities, updated with each change. */
    double totalCapacity() {
        return totalCapacity;
    }

    /** Recomputes the sum of all capacities, as rounding errors would otherwise accumulate. */
    void recomputeTotalCapacity() {
        totalCapacity = 0;
        for (int index = 0; index < workers.size(); index++) {
            totalCapacity += capacities[index];
        }
    }

    /** The cost last set for a listed worker. */
    double cost(Worker worker) {
        return costs[worker.tableIndex];
    }

    void setCost(Worker worker, double cost) {
        costs[worker.tableIndex] = cost;
    }

    /** The first worker with the lowest cost, if that is below the limit; otherwise null. */
    Worker cheapest(double limit) {
        Worker best = null;
        double bestCost = limit;
        for (int index = 0; index < workers.size(); index++) {
            if (costs[index] < bestCost) {
                best = workers.get(index);
                bestCost = costs[index];
            }
        }
        return best;
    }

    /** The first of these workers, all of them listed, with the lowest cost, if that is below the limit; else null. */
    Worker cheapest(List<Worker> among, double limit) {
        Worker best = null;
        double bestCost = limit;
        for (Worker worker : among) {
            if (cost(worker) < bestCost) {
                best = worker;
                bestCost = cost(worker);
            }
        }
        return best;
    }
}
