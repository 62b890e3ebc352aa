package aubagent

import (
	"net/http"
	"strings"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// hopHeaders concern one connection only and are never passed on.
var hopHeaders = []string{
	"Connection",
	"Expect",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// toHeader decodes the headers of a request for the backend server.
func toHeader(headers []*aubwire.Header) http.Header {
	decoded := make(http.Header, len(headers))
	for _, h := range headers {
		for _, value := range h.GetValues() {
			decoded.Add(h.GetName(), value)
		}
	}
	stripHops(decoded)
	if _, ok := decoded["User-Agent"]; !ok {
		// An empty value keeps the client library from adding its own name.
		decoded.Set("User-Agent", "")
	}
	return decoded
}

// fromHeader encodes the headers or trailers of an answer.
func fromHeader(header http.Header) []*aubwire.Header {
	stripHops(header)
	encoded := make([]*aubwire.Header, 0, len(header))
	for name, values := range header {
		encoded = append(encoded, &aubwire.Header{Name: name, Values: values})
	}
	return encoded
}

func stripHops(header http.Header) {
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}
