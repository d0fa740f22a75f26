/**
 * Releases in a running dispatcher: what it sees of the fleet ({@code FleetObserver}), the thread that evaluates the
 * agreed state and carries out what follows ({@code RolloutService}), drains of workers ({@code WorkerDrainer}) on a
 * thread of their own, and the admin calls, which run on the admin server's threads. Decides nothing that the fleet has
 * to agree on: {@code maplespread.release} does, by the register. May import {@code release}, {@code errors}, {@code
 * consensus}, {@code cluster}, {@code membership}, {@code registry}, {@code admin}, {@code config}, what the endpoint
 * list consists of ({@code discovery}, {@code facade}) and {@code log}; {@code feature} puts it together.
 */
package maplespread.release.client;
