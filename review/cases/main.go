// Command reviewcases plays the scripted cases of an independent review. Each case starts the
// project's programs as separate processes on loopback addresses, with stand-ins for clients,
// workers and the operator, and checks one rule of the users' pages.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime limits one run of a case.
const maxRunTime = 100 * time.Second

// errUsage means that the arguments name no case.
var errUsage = errors.New("usage: reviewcases CASE RECORD, from the root of the repository")

// playFunc plays one case and returns the violations of its rule.
type playFunc func(ctx context.Context, s *site, withTrouble bool) ([]string, error)

var cases = map[string]playFunc{
	"unreadable-id":    playUnreadableID,
	"unreadable-model": playUnreadableModel,
	"encoded-slash":    playEncodedSlash,
	"retired-model":    playRetiredModel,
	"planned-stop":     playPlannedStop,
	"late-refusal":     playLateRefusal,
	"repeated-refusal": playRepeatedRefusal,
	"idempotency-key":  playIdempotencyKey,
	"half-close":       playHalfClose,
}

func main() { os.Exit(run(os.Args[1:])) }

// run plays the case that the arguments name and returns the exit code.
func run(args []string) int {
	violations, err := play(args)
	switch {
	case err != nil:
		fmt.Println("case could not run:", err)
		return exitNotRun
	case len(violations) > 0:
		fmt.Printf("rule broken %d times, first: %s\n", len(violations), violations[0])
		return exitBroken
	}
	fmt.Println("rule held")
	return exitHeld
}

// stopOnSignal ends the started processes if this one is told to end.
func stopOnSignal(s *site) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		s.stop()
		os.Exit(exitNotRun)
	}()
}

// play plays the case and writes its record.
func play(args []string) ([]string, error) {
	if len(args) != 2 || cases[args[0]] == nil {
		return nil, errUsage
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxRunTime)
	defer cancel()
	rec, err := newRecorder(args[1])
	if err != nil {
		return nil, err
	}
	defer rec.close()
	s, err := newSite(rec)
	if err != nil {
		return nil, err
	}
	defer s.stop()
	stopOnSignal(s)
	withTrouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble %t", args[0], withTrouble)
	violations, err := cases[args[0]](ctx, s, withTrouble)
	for _, v := range violations {
		rec.add("VIOLATION %s", v)
	}
	if err != nil {
		rec.add("case could not run: %v", err)
	}
	return violations, err
}
