// Package aubheader holds what relaying needs to know of HTTP headers.
package aubheader

import (
	"net/http"
	"strings"
)

// hopByHopHeaders concern one connection only and are never passed on (RFC 9110,
// section 7.6.1, and the headers that proxies used before it).
var hopByHopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHop deletes the headers of one connection, those that its connection
// header names included.
func RemoveHop(header http.Header) {
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}
