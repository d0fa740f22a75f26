/**
 * All decisions of a dispatcher: which worker gets a request, whether a request is attempted again, which requests are
 * rejected, when a worker is ejected, and whether the endpoint list may be used.
 *
 * <p>The host calls {@link maplespread.policy.DispatchPolicy} with {@link maplespread.policy.PolicyEvents} and is
 * called back through {@link maplespread.policy.PolicyActions}. Each rule has a module of its own:
 *
 * <ul>
 *   <li>{@code EligibilityFilter}, {@code RetryPolicy}: whether a request may be sent to a worker at all.
 *   <li>{@code CostModel}, {@code ValueFunction}, {@code KeyAffinity}, {@code CandidateCosts}: the cost of sending
 *       it there.
 *   <li>{@code WorkerSelector}, {@code ProbeScheduler}, {@code AdmissionControl}: which worker is chosen, or why none.
 *   <li>{@code Worker} with {@code WorkerBacklog}, {@code SpeedEstimator}, {@code SlotEstimator}, {@code
 *       SlowStartBudget}, {@code OutlierDetector}: the estimates for one worker.
 *   <li>{@code ArrivalStatistics}, {@code FleetLoadEstimate}, {@code HintCalibration}, {@code FailureStatistics}: the
 *       estimates for all workers together.
 *   <li>{@code EndpointListFreshness}, {@code DiscoveryPollSchedule}: the freshness of the endpoint list.
 * </ul>
 *
 * <p>Units of time in comments: the <i>objective</i> is the shortest latency objective of all classes, the estimators'
 * <i>memory</i> the shortest deadline, and a <i>mean request</i> the mean work of the requests offered.
 *
 * <p>Owns no thread, socket or clock, and imports nothing but {@code java.lang} and {@code java.util}: the simulator
 * runs the same code. The host calls it under one lock. The simulator's figures stay bit-exact from release to release
 * unless a change of behaviour is intended, so sums and the draws from the random source must keep their order.
 */
package maplespread.policy;
