/**
 * What a dispatcher may have beyond the plain one, each part put together in one class here and named in
 * {@link maplespread.feature.Features}, which alone decides what is on. A part that is off is not loaded: nothing
 * but its own class and {@code Parts} names it. May call every package but the command line, the lab and
 * {@code Server}, which it sees as a {@link maplespread.feature.FeatureContext}.
 */
package maplespread.feature;
