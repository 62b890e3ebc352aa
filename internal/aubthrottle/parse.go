package aubthrottle

import (
	"math"
	"strconv"
	"strings"

	"github.com/auburndale/auburndale/internal/auboption"
)

// ParseLimit parses a limit in requests per second. Text that is no such number states no
// limit.
func ParseLimit(text string) auboption.Option[float64] {
	limit, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(limit) || math.IsInf(limit, 0) || limit < 0 {
		return auboption.None[float64]()
	}
	return auboption.Some(limit)
}
