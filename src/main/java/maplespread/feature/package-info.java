/**
 * What a dispatcher may have beyond the plain one. Each optional feature is put together in one class here and named in
 * {@link maplespread.feature.Features}, which alone decides what is on. A feature that is off is not loaded: nothing but
 * its own class and {@code Features} names it. Owns the thread that joins the group and the one that evaluates
 * starvation. May import every package but {@code cli}, {@code lab} and the server, which it sees as a {@link
 * maplespread.feature.FeatureContext}.
 */
package maplespread.feature;
