// Package aubexecution is the client side of running a request on an agent. It
// sends the request once, reads the numbered frames of the response, and resumes
// on a new connection when one breaks or delivers no frames.
package aubexecution
