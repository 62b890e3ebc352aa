// Package aubengine is the HTTP client of a backend server. For a model engine it also
// defines the control API: orders, state, load report, and abort and resume of answers.
package aubengine
