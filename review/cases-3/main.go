// Command cases-3 plays the scripted cases of the third review: it starts the programs of the deploy file as processes on loopback
// addresses, with stand-ins for clients, model workers and the operator, and judges what the stand-ins have seen.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	caseDeadline = 115 * time.Second
)

var errUsage = errors.New("usage: review-3 CASE RECORD-FILE")

func main() {
	broken, err := play(os.Args[1:])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(exitNotRun)
	case broken > 0:
		fmt.Printf("the rule was broken %d times\n", broken)
		os.Exit(exitBroken)
	}
	fmt.Println("the rule held")
	os.Exit(exitHeld)
}

// play plays a case and returns how often its rule was broken.
func play(args []string) (int, error) {
	if len(args) != 2 {
		return 0, errUsage
	}
	cases := map[string]func(ctx context.Context, s *site, isTroubled bool) (int, error){
		"first-start": playFirstStart,
		"order-turns": playOrderTurns,
	}
	run, ok := cases[args[0]]
	if !ok {
		return 0, fmt.Errorf("no case %q: %w", args[0], errUsage)
	}
	ctx, cancel := context.WithTimeout(context.Background(), caseDeadline)
	defer cancel()
	s, err := newSite(args[1])
	if err != nil {
		return 0, err
	}
	defer s.close()
	isTroubled := os.Getenv("TROUBLE") != "0"
	s.logf("case %s, trouble %t", args[0], isTroubled)
	broken, err := run(ctx, s, isTroubled)
	s.logf("the rule was broken %d times, error %v", broken, err)
	return broken, err
}
