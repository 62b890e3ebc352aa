// Package aubstandin holds stand-ins for what the system serves through: a
// model engine, a plain service and a weight store, with a plain time model,
// switches for faults and records of what they executed.
package aubstandin
