// Package aublimit enforces a rate and burst limit, in tokens, for each
// workspace across all instances.
//
// The replicated state holds one central token bucket for each workspace.
// Instances lease tokens from it by committed commands and spend them locally.
// Each instance also has a floor: a fixed part of the rate and burst that it can
// spend without contact to the leader. At any time the tokens that can still be
// spent, on all instances together, are at most the burst and grow at most at
// the rate.
package aublimit
