// Package aubengine is the HTTP client of a model engine: generation requests,
// orders, state, load report, and abort and resume of answers.
package aubengine
