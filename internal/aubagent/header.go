package aubagent

import (
	"net/http"

	"github.com/auburndale/auburndale/internal/aubheader"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// decodeHeaders returns a request's headers for the backend server, without the
// hop-by-hop headers.
func decodeHeaders(headers []*aubwire.Header) http.Header {
	decoded := make(http.Header, len(headers))
	for _, h := range headers {
		for _, value := range h.GetValues() {
			decoded.Add(h.GetName(), value)
		}
	}
	aubheader.RemoveHopByHop(decoded)
	if _, ok := decoded["User-Agent"]; !ok {
		// An empty value stops net/http from sending its default User-Agent.
		decoded.Set("User-Agent", "")
	}
	return decoded
}

// encodeHeaders encodes the headers or trailers of a response, without the
// hop-by-hop headers, which it deletes from header.
func encodeHeaders(header http.Header) []*aubwire.Header {
	aubheader.RemoveHopByHop(header)
	encoded := make([]*aubwire.Header, 0, len(header))
	for name, values := range header {
		encoded = append(encoded, &aubwire.Header{Name: name, Values: values})
	}
	return encoded
}
