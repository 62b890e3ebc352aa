// Command cases-2 plays the cases of a review against processes of the system on loopback addresses, with
// stand-ins for clients, workers and the platform.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Results of a case, which are the codes of the exit.
const (
	resultHeld   = 0
	resultBroken = 1
	resultNotRun = 2
)

// maxDuration bounds a case.
const maxDuration = 110 * time.Second

// play is one case. It reports whether the rule was broken.
type play func(ctx context.Context, s *site, isTroubled bool) (isBroken bool, err error)

func main() { os.Exit(runCase()) }

func runCase() int {
	cases := map[string]play{"forgotten_departure": playForgottenDeparture, "pending_adapter": playPendingAdapter}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases-2 CASE BINARY FOLDER")
		return resultNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxDuration)
	defer cancel()
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return resultNotRun
	}
	defer r.close()
	s, err := newSite(ctx, r, os.Args[2])
	if err != nil {
		r.tell("not run: %v", err)
		return resultNotRun
	}
	defer s.close()
	closeOnSignal(s)
	isBroken, err := cases[os.Args[1]](ctx, s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.tell("not run: %v", err)
		return resultNotRun
	case isBroken:
		r.tell("broken")
		return resultBroken
	}
	r.tell("held")
	return resultHeld
}

// closeOnSignal ends the processes of the site if the case itself is to end.
func closeOnSignal(s *site) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		s.close()
		os.Exit(resultNotRun)
	}()
}
