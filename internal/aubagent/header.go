package aubagent

import (
	"net/http"

	"github.com/auburndale/auburndale/internal/aubheader"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// decodeHeaders decodes the headers of a request for the backend server.
func decodeHeaders(headers []*aubwire.Header) http.Header {
	decoded := make(http.Header, len(headers))
	for _, h := range headers {
		for _, value := range h.GetValues() {
			decoded.Add(h.GetName(), value)
		}
	}
	aubheader.RemoveHop(decoded)
	if _, ok := decoded["User-Agent"]; !ok {
		// An empty value keeps the client library from adding its own name.
		decoded.Set("User-Agent", "")
	}
	return decoded
}

// encodeHeaders encodes the headers or trailers of an answer.
func encodeHeaders(header http.Header) []*aubwire.Header {
	aubheader.RemoveHop(header)
	encoded := make([]*aubwire.Header, 0, len(header))
	for name, values := range header {
		encoded = append(encoded, &aubwire.Header{Name: name, Values: values})
	}
	return encoded
}
