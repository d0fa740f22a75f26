/**
 * Releases in a running dispatcher: the observation of the fleet ({@code FleetObserver}), the thread that evaluates the
 * agreed state and carries out actions ({@code RolloutService}), drains of workers ({@code WorkerDrainer}) on a
 * separate thread, and the admin calls, which run on the admin server's threads. Decisions that the fleet has to agree
 * on are made by {@code maplespread.release} through the register. May import {@code release}, {@code errors}, {@code
 * consensus}, {@code cluster}, {@code membership}, {@code registry}, {@code admin}, {@code config}, what the endpoint
 * list consists of ({@code discovery}, {@code facade}) and {@code log}; {@code feature} puts it together.
 */
package maplespread.release.client;
