// Package aubstandin implements stand-ins for backend servers and their weight
// store: a model engine, a plain service and a weight store with a simple time
// model, fault injection and statistics of what they executed.
package aubstandin
