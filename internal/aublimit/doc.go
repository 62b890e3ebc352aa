// Package aublimit holds every workspace to its rate and burst in tokens over
// all instances together.
//
// A central token bucket for each workspace is part of the replicated state.
// Instances lease amounts from it by committed commands and spend them locally;
// each also owns a standing floor, a part of the rate and burst that needs no
// leader. At every moment, what can still be spent anywhere is at most the
// burst, and it grows by the rate at most.
package aublimit
