// Package aubexecution is the entry's side of running a request on an agent:
// it sends the request once, reads the numbered frames of its answer, and
// resumes on a new connection when one breaks or goes silent.
package aubexecution
