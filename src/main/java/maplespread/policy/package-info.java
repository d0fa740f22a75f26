/**
 * All decisions of a dispatcher: which worker gets a request, whether it is attempted again, what is rejected, when a
 * worker is ejected, and whether the endpoint list may be relied on.
 *
 * <p>The host enters by {@link maplespread.policy.DispatchPolicy} with {@link maplespread.policy.PolicyEvents} and is
 * called back through {@link maplespread.policy.PolicyActions}. One module a rule; which module holds which:
 *
 * <ul>
 *   <li>{@code EligibilityFilter}, {@code RetryPolicy}: whether a request may be sent to a worker at all.
 *   <li>{@code CostModel}, {@code ValueFunction}, {@code KeyAffinity}, {@code CandidateCosts}: what that costs.
 *   <li>{@code WorkerSelector}, {@code ProbeScheduler}, {@code AdmissionControl}: which worker is taken, or why none.
 *   <li>{@code Worker} with {@code WorkerBacklog}, {@code SpeedEstimator}, {@code SlotEstimator}, {@code
 *       SlowStartBudget}, {@code OutlierDetector}: what is known of one worker.
 *   <li>{@code ArrivalStatistics}, {@code FleetLoadEstimate}, {@code HintCalibration}, {@code FailureStatistics}: what
 *       is known of all together.
 *   <li>{@code EndpointListFreshness}, {@code DiscoveryPollSchedule}: the endpoint list.
 * </ul>
 *
 * <p>Spans that comments count in: the <i>objective</i> is the shortest latency objective of all classes, the estimators'
 * <i>memory</i> the shortest deadline, a <i>mean request</i> the mean work of the requests offered, all in ms.
 *
 * <p>Owns no thread, socket or clock, and imports nothing but {@code java.lang} and {@code java.util}: the simulator
 * runs the same code. The host calls it under one lock. Figures are bit-exact from release to release unless a change
 * of behaviour is meant: sums keep their order, and the random source its order of draws.
 */
package maplespread.policy;
