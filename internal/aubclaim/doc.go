// Package aubclaim keeps calls with an idempotency key to one run at most: a
// claim is committed to the replicated table before the call is sent, and
// repeats get the recorded outcome.
package aubclaim
