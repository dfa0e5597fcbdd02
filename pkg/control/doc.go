// Package control holds the controllers. Each observes one kind of state,
// reconciles it level-triggered, and publishes immutable snapshots that the
// request path reads with one atomic load.
package control
