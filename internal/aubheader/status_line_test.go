package aubheader_test

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubheader"
)

func TestHasStatusLine(t *testing.T) {
	for text, want := range map[string]bool{
		"HTTP/1.1 500 Internal Server Error": true, "aHTTP/1.0 503": true, "HTTP/1.1 proxy": false, "HTTP/1.1": false, "1.1 a, HTTP/1.1 b": false,
		"HTTP/1.1 5000": false, "200 OK": false, "": false,
	} {
		qt.Check(t, aubheader.HasStatusLine(&http.Response{Status: "200 OK", Header: http.Header{"Via": {"1.1 a", text}}}), qt.Equals, want, qt.Commentf("%s", text))
		qt.Check(t, aubheader.HasStatusLine(&http.Response{Status: text}), qt.Equals, want, qt.Commentf("%s", text))
	}
}
