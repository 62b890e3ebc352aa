// Package aubbudget bounds what callers make a process hold: connections, heads as parsed, bodies, HTTP/2
// streams and bytes that were not read. The bounds are shares of the memory and the descriptors of the machine.
package aubbudget

import (
	"math"
	"runtime/debug"

	"github.com/prometheus/procfs"
	"golang.org/x/sys/unix"
)

const (
	// requestShare and responseShare are the divisors of the memory for heads and bodies of requests and for
	// buffered responses, connectionShare the part for connections. heapShare is the part of the memory above
	// which the garbage collector runs without a pause; the rest is for the program itself and the kernel's
	// buffers.
	requestShare    = 5
	responseShare   = 10
	connectionShare = 0.4
	heapShare       = 0.7
	// maxResponseBytes limits buffered responses however large the memory is.
	maxResponseBytes = 16 << 20

	// receiveBufferBytes is the receive buffer of a caller's connection. Smaller ones hold no whole segment of a
	// loopback connection, which then stalls for 200 ms at a time.
	receiveBufferBytes = 64 << 10
	// connectionBytes is what a connection takes with that: the buffers of the server, two goroutines and the
	// part of a response that each may buffer.
	connectionBytes = 106 << 10
	// fileDescriptors are kept for files; callers get one of callerDescriptorShare of the others.
	fileDescriptors       = 200
	callerDescriptorShare = 2
	// minConnections is the least number of callers' connections, minorShare the divisor of it for
	// listeners that serve no callers, minMinorConnections the least number there.
	minConnections      = 32
	minorShare          = 16
	minMinorConnections = 16

	// minRequestBytes lets a request of the largest legal size through however small the memory is.
	minRequestBytes = 8 << 20
	// defaultMemory applies where the machine does not tell its memory.
	defaultMemory = 1 << 30
)

// Machine is what a process may use. It is immutable.
type Machine struct {
	// Memory is in bytes.
	Memory      int64
	Descriptors int
}

// DetectMachine returns the memory and the descriptors of the machine.
func DetectMachine() Machine {
	m := Machine{Memory: defaultMemory, Descriptors: math.MaxInt32}
	if fs, err := procfs.NewDefaultFS(); err == nil {
		if info, err := fs.Meminfo(); err == nil && info.MemTotalBytes != nil {
			m.Memory = int64(min(*info.MemTotalBytes, math.MaxInt64))
		}
	}
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) == nil {
		m.Descriptors = int(min(limit.Cur, math.MaxInt32))
	}
	return m
}

// WithMemory returns a machine with at most the memory in bytes; 0 changes nothing.
func (m Machine) WithMemory(bytes int64) Machine {
	if bytes > 0 {
		m.Memory = min(m.Memory, bytes)
	}
	return m
}

// WithDescriptors returns a machine with at most the number of descriptors; 0 changes nothing.
func (m Machine) WithDescriptors(n int) Machine {
	if n > 0 {
		m.Descriptors = min(m.Descriptors, n)
	}
	return m
}

// RequestBytes is what the requests of all callers may hold.
func (m Machine) RequestBytes() int64 { return max(m.Memory/requestShare, minRequestBytes) }

// ResponseBytes is what all buffered responses may hold.
func (m Machine) ResponseBytes() int64 { return min(m.Memory/responseShare, maxResponseBytes) }

// CallerConnections is the number of connections that callers may hold.
func (m Machine) CallerConnections() int {
	byMemory := int(min(connectionShare*float64(m.Memory)/connectionBytes, math.MaxInt32))
	byDescriptors := (m.Descriptors - fileDescriptors) / callerDescriptorShare
	return max(min(byMemory, byDescriptors), minConnections)
}

// MinorConnections is the number of connections of a listener that serves no callers.
func (m Machine) MinorConnections() int {
	return max(m.CallerConnections()/minorShare, minMinorConnections)
}

// LimitHeap makes the garbage collector keep the heap within its part of the memory. It does not raise a limit
// that is lower.
func (m Machine) LimitHeap() {
	limit := int64(heapShare * float64(m.Memory))
	if limit < debug.SetMemoryLimit(-1) {
		debug.SetMemoryLimit(limit)
	}
}
