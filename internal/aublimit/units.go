package aublimit

import "time"

// microTokens is an amount in millionths of a token.
type microTokens int64

const (
	// microPerToken is the number of microTokens in a token.
	microPerToken microTokens = 1_000_000
	// milliPerToken is the number of thousandths of a token in a token.
	milliPerToken = 1_000
	// maxTokens is the maximum of every amount, so that no sum of microTokens overflows.
	maxTokens = 1_000_000_000_000
	// perMille is the denominator of shares in thousandths.
	perMille = 1_000
)

// toMicroTokens converts whole tokens, limited to the range from 0 to maxTokens.
func toMicroTokens(tokens int64) microTokens {
	return microTokens(min(max(tokens, 0), maxTokens)) * microPerToken
}

// wholeTokens returns the number of tokens, rounded down.
func (m microTokens) wholeTokens() int64 { return int64(m / microPerToken) }

// timeToFill returns the time in which a rate, in 1/1000 token per second, yields
// the tokens, at most maxRetryAfter.
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
