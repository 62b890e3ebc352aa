package aubresponse_test

import (
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubresponse"
)

// TestLongAnswerIsNotCut guards against an answer that is cut at its limit and passed on as whole.
func TestLongAnswerIsNotCut(t *testing.T) {
	data, err := aubresponse.ReadWhole(strings.NewReader("12345678"), 8)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(data), qt.Equals, "12345678")
	_, err = aubresponse.ReadWhole(strings.NewReader("123456789"), 8)
	var sizeErr *aubresponse.SizeError
	qt.Assert(t, errors.As(err, &sizeErr), qt.IsTrue)
}
