package maplespread.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The listed workers in places without gaps, with a capacity and a cost by place. A change of the list costs one worker
 * and no other, whatever their number: the last worker takes the place of one that goes. Decides nothing.
 */
final class WorkerTable {
    private static final int EXTRA_PLACES = 8;

    private final List<Worker> workers = new ArrayList<>();
    private double[] capacities = {};
    private double[] costs = {};
    private double totalCapacity;

    int size() {
        return workers.size();
    }

    Worker get(int place) {
        return workers.get(place);
    }

    /** All listed workers, by place. */
    List<Worker> all() {
        return workers;
    }

    /** Takes a worker in, unless it is in. */
    void add(Worker worker) {
        if (worker.isListed()) {
            return;
        }
        worker.tablePlace = workers.size();
        workers.add(worker);
        if (worker.tablePlace >= capacities.length) {
            capacities = Arrays.copyOf(capacities, 2 * worker.tablePlace + EXTRA_PLACES);
            costs = Arrays.copyOf(costs, capacities.length);
        }
    }

    /** Takes a worker out, if it is in. */
    void remove(Worker worker) {
        if (!worker.isListed()) {
            return;
        }
        setCapacity(worker, 0);
        int place = worker.tablePlace;
        Worker last = workers.remove(workers.size() - 1);
        if (last != worker) {
            workers.set(place, last);
            capacities[place] = capacities[last.tablePlace];
            costs[place] = costs[last.tablePlace];
            capacities[last.tablePlace] = 0;
            last.tablePlace = place;
        }
        worker.tablePlace = Worker.NOT_LISTED;
    }

    /** Sets the worker's part of the total; nothing for one that is not in. */
    void setCapacity(Worker worker, double capacity) {
        if (worker.isListed()) {
            totalCapacity += capacity - capacities[worker.tablePlace];
            capacities[worker.tablePlace] = capacity;
        }
    }

    double capacity(int place) {
        return capacities[place];
    }

    /** The sum of all capacities, kept up with each change. */
    double totalCapacity() {
        return totalCapacity;
    }

    /** Makes the sum anew: without that, roundings add up. */
    void recomputeTotalCapacity() {
        totalCapacity = 0;
        for (int place = 0; place < workers.size(); place++) {
            totalCapacity += capacities[place];
        }
    }

    /** The cost last set for a listed worker. */
    double cost(Worker worker) {
        return costs[worker.tablePlace];
    }

    void setCost(Worker worker, double cost) {
        costs[worker.tablePlace] = cost;
    }

    /** The first worker of the least cost, if any costs less than the limit; else null. */
    Worker cheapest(double limit) {
        Worker best = null;
        double bestCost = limit;
        for (int place = 0; place < workers.size(); place++) {
            if (costs[place] < bestCost) {
                best = workers.get(place);
                bestCost = costs[place];
            }
        }
        return best;
    }

    /** The same among these workers, all of them listed. */
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
