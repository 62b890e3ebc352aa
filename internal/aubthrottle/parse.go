package aubthrottle

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/auburndale/auburndale/internal/auboption"
)

// MaxColdTime limits the time for which a backend server counts as cold by one statement.
const MaxColdTime = 2 * time.Minute

// ParseLimit parses a limit in requests per second. Text that is no such number states no
// limit.
func ParseLimit(text string) auboption.Option[float64] {
	limit, err := parseFinite(text)
	if err != nil || limit < 0 {
		return auboption.None[float64]()
	}
	return auboption.Some(limit)
}

// ParseColdLeft parses how much longer a backend server stays cold, in milliseconds, up to
// MaxColdTime. Text that is no such number states nothing.
func ParseColdLeft(text string) auboption.Option[time.Duration] {
	ms, err := parseFinite(text)
	if err != nil || ms < 0 {
		return auboption.None[time.Duration]()
	}
	return auboption.Some(time.Duration(min(ms, float64(MaxColdTime.Milliseconds())) * float64(time.Millisecond)))
}

// ParseRetryAfter parses the value of a Retry-After header, seconds or an HTTP date, up to
// MaxQuietTime. A date counts from that of the answer, so that the clocks of two hosts are
// not compared. Text that states no time to come returns 0.
func ParseRetryAfter(text, answerDate string) time.Duration {
	seconds, err := parseFinite(text)
	if err != nil {
		until, dateErr := http.ParseTime(strings.TrimSpace(text))
		answeredAt, answerErr := http.ParseTime(answerDate)
		if dateErr != nil || answerErr != nil {
			return 0
		}
		seconds = until.Sub(answeredAt).Seconds()
	}
	seconds = min(max(seconds, 0), MaxQuietTime.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// parseFinite parses a number that is neither infinite nor NaN. Errors are those of
// strconv.ParseFloat.
func parseFinite(text string) (float64, error) {
	number, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err == nil && (math.IsNaN(number) || math.IsInf(number, 0)) {
		err = strconv.ErrRange
	}
	return number, err
}
