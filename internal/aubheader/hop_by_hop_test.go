package aubheader_test

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubheader"
)

func TestRemoveHopByHop(t *testing.T) {
	header := http.Header{
		"Connection": {"close, X-One", "x-two"}, "X-One": {"1"}, "X-Two": {"2"}, "Kept": {"3"},
		"Keep-Alive": {"timeout=5"}, "Te": {"trailers"}, "Transfer-Encoding": {"chunked"}, "Upgrade": {"h2c"}, "Expect": {"100-continue"},
	}
	aubheader.RemoveHopByHop(header)
	qt.Assert(t, header, qt.DeepEquals, http.Header{"Kept": {"3"}})
}
