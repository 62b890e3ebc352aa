package aublimit

import "time"

// tokens counts whole tokens, micro millionths of a token.
type micro int64

const (
	// microPerToken is the number of micro in a token.
	microPerToken micro = 1_000_000
	// milliPerToken is the number of thousandths in a token.
	milliPerToken = 1_000
	// maxTokens bounds every amount, so that no sum of micro overflows.
	maxTokens = 1_000_000_000_000
	// perMille is the whole of a share in thousandths.
	perMille = 1_000
)

func toMicro(tokens int64) micro {
	return micro(min(max(tokens, 0), maxTokens)) * microPerToken
}

// tokens returns the whole tokens in m.
func (m micro) tokens() int64 { return int64(m / microPerToken) }

// timeToFill returns how long a rate in thousandths of a token a second takes
// to give the tokens.
func timeToFill(tokens, rateMilli int64) time.Duration {
	if tokens <= 0 {
		return 0
	}
	if rateMilli <= 0 {
		return maxRetryAfter
	}
	seconds := float64(tokens) * milliPerToken / float64(rateMilli)
	return min(time.Duration(min(seconds, maxRetryAfter.Seconds())*float64(time.Second)), maxRetryAfter)
}
