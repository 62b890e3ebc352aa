// Package aubengine is the HTTP client of a model engine: generation, orders,
// state, load report, abort and resume of answers.
package aubengine
