// Package aubheader removes the HTTP headers that a proxy must not forward and limits
// those that it accepts.
package aubheader

import (
	"net/http"
	"strings"
)

// hopByHopHeaders apply to a single connection and are never forwarded: those of
// RFC 9110, section 7.6.1, and those that proxies used before it.
var hopByHopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHop deletes the hop-by-hop headers, including those that the Connection
// header names.
func RemoveHopByHop(header http.Header) {
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}
