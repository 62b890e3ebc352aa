// Package aubclaim ensures that a call with an idempotency key runs at most
// once: a claim is committed to the replicated table before the call is sent to
// a backend server, and repeats of the call get the recorded outcome.
package aubclaim
