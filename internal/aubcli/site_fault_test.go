package aubcli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.yaml.in/yaml/v3"

	"github.com/auburndale/auburndale/internal/aubstandin"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// drainBound is the time after the signal in which a draining backend server may still
// receive new requests.
const drainBound = 3 * time.Second

// TestShutdownTruncatesNoResponse ends an agent and two entries by SIGTERM while requests run
// through them: no response may be truncated.
func TestShutdownTruncatesNoResponse(t *testing.T) {
	s := newSite(t)
	for _, name := range []string{"agent-a", "entry-a", "entry-b"} {
		t.Run(name, func(t *testing.T) {
			responses := make(chan response, 60)
			var wg sync.WaitGroup
			for i := range 20 {
				for _, entry := range s.entries {
					if !s.isRunning(entry) {
						continue
					}
					wg.Go(func() {
						time.Sleep(time.Duration(i) * 30 * time.Millisecond)
						responses <- callModel(s.callerAddresses[entry], "example-small", 60, i%2 == 0)
					})
				}
			}
			time.Sleep(300 * time.Millisecond)
			signalledAt := time.Now()
			qt.Check(t, s.signal(t, name, syscall.SIGTERM), qt.Equals, ExitDone)
			wg.Wait()
			if name == "agent-a" {
				last := standinStats(t, s.standinURLs["engine-a"]).LastRequestAt
				qt.Check(t, last.Sub(signalledAt) < drainBound, qt.IsTrue, qt.Commentf("new request %v after the signal", last.Sub(signalledAt)))
			}
			close(responses)
			for resp := range responses {
				checkNotTruncated(t, resp, name)
			}
		})
	}
}

func (s *site) isRunning(name string) bool {
	select {
	case <-s.processes[name].done:
		return false
	default:
		return true
	}
}

// checkNotTruncated accepts a complete response, a refusal that says not run, and a
// refused connection if the draining process is an entry, which closes its listener.
func checkNotTruncated(t *testing.T, resp response, draining string) {
	t.Helper()
	if resp.complete() {
		return
	}
	if resp.err != nil && strings.HasPrefix(draining, "entry") && strings.Contains(resp.err.Error(), "connection refused") {
		return
	}
	if resp.status == http.StatusServiceUnavailable && strings.Contains(resp.body, `"execution":"not_run"`) {
		return
	}
	t.Errorf("truncated response: status %d, error %v, body %.300s", resp.status, resp.err, resp.body)
}

// TestSiteSurvivesKills kills each entry, an agent and an engine in sequence and restarts
// them. The other entries must keep serving, tickets and models must be kept, and no
// engine may be overcommitted.
func TestSiteSurvivesKills(t *testing.T) {
	s := newSite(t)
	for _, name := range []string{"entry-a", "entry-b", "entry-c", "agent-a", "engine-a"} {
		s.signal(t, name, syscall.SIGKILL)
		for _, entry := range s.entries {
			if entry == name {
				continue
			}
			eventually(t, entry+" responds without "+name, func() bool {
				return callModel(s.callerAddresses[entry], "example-small", 2, false).complete()
			})
		}
		s.start(t, name)
		if strings.HasPrefix(name, "entry") {
			s.awaitServing(t, name)
		}
	}
	for _, entry := range s.entries {
		outcome, err := s.client(entry).Ticket(context.Background(), 1)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, outcome.Status, qt.Equals, aubapi.TicketAccepted)
	}
	for _, model := range []string{"example-small", "example-large"} {
		eventually(t, model+" reachable", func() bool { return callModel(s.callerAddresses["entry-a"], model, 2, false).complete() })
	}
	for name, address := range s.standinURLs {
		// The engine that was restarted last may not listen yet.
		eventually(t, name+" listens", func() bool { return isListening(address + aubstandin.PathStats) })
		qt.Check(t, standinStats(t, address).Overcommitted, qt.IsFalse, qt.Commentf("%s", name))
	}
}

// isListening reports whether a stand-in listens.
func isListening(url string) bool {
	resp, err := http.Get(url)
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil
}

// TestConfirmOnceThroughKills repeats calls with idempotency keys through all entries
// while an entry and an agent are killed: each call runs at most once, and a call that
// was refused as not run did not run.
func TestConfirmOnceThroughKills(t *testing.T) {
	s := newSite(t)
	const calls = 30
	var wg sync.WaitGroup
	refused := make([]bool, calls)
	for i := range calls {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			refused[i] = s.confirmUntilFinal(i)
		})
	}
	for _, name := range []string{"entry-b", "agent-roster"} {
		time.Sleep(400 * time.Millisecond)
		s.signal(t, name, syscall.SIGKILL)
		s.start(t, name)
	}
	wg.Wait()
	executions := confirmationCounts(t, s)
	for i := range calls {
		n := executions[fmt.Sprintf("swap-%d", i)]
		qt.Check(t, n <= 1, qt.IsTrue, qt.Commentf("swap %d ran %d times", i, n))
		qt.Check(t, refused[i] && n > 0, qt.IsFalse, qt.Commentf("swap %d was refused as not run and ran", i))
	}
}

// TestShutdownWithoutQuorum ends an entry by SIGTERM after the quorum is lost, so that it
// can't commit the return of its leases.
func TestShutdownWithoutQuorum(t *testing.T) {
	s := newSite(t)
	s.signal(t, "entry-a", syscall.SIGKILL)
	s.signal(t, "entry-b", syscall.SIGKILL)
	qt.Assert(t, callModel(s.callerAddresses["entry-c"], "example-small", 2, false).complete(), qt.IsTrue)
	qt.Check(t, s.signal(t, "entry-c", syscall.SIGTERM), qt.Equals, ExitDone)
}

// TestRestoreAfterMajorityLoss loses two of three data folders, checks that the site
// refuses changes, restores it from the remaining one and checks that the site serves,
// that changes are accepted again and that the new replicas hold them.
func TestRestoreAfterMajorityLoss(t *testing.T) {
	s := newSite(t)
	for _, name := range []string{"entry-b", "entry-c"} {
		s.signal(t, name, syscall.SIGKILL)
		qt.Assert(t, os.RemoveAll(s.path("data-"+name)), qt.IsNil)
		s.start(t, name)
	}
	change := aubapi.Ticket{Number: 2, Workspaces: []aubapi.Workspace{{Name: "late", Rate: 1, Burst: 10}}}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_, err := s.client("entry-a").ApplyTicket(ctx, change, 0)
	qt.Assert(t, err, qt.IsNotNil)

	for _, name := range s.entries {
		s.signal(t, name, syscall.SIGKILL)
	}
	var out, errOut bytes.Buffer
	qt.Assert(t, Run([]string{"snapshot", "restore", "--settings", s.settingsFiles["entry-a"]}, &out, &errOut), qt.Equals, ExitUsage)
	code := Run([]string{"snapshot", "restore", "--settings", s.settingsFiles["entry-a"], "--accept_loss"}, &out, &errOut)
	qt.Assert(t, code, qt.Equals, ExitDone, qt.Commentf("%s", errOut.String()))
	s.start(t, "entry-a")
	for _, name := range []string{"entry-b", "entry-c"} {
		qt.Assert(t, os.RemoveAll(s.path("data-"+name)), qt.IsNil)
		s.start(t, name)
	}
	eventually(t, "ticket 2 accepted", func() bool {
		outcome, err := s.client("entry-a").ApplyTicket(context.Background(), change, time.Second)
		return err == nil && outcome.Status == aubapi.TicketAccepted
	})
	for _, entry := range s.entries {
		s.awaitServing(t, entry)
	}
	s.signal(t, "entry-a", syscall.SIGKILL)
	eventually(t, "the other two replicas hold the state", func() bool {
		outcome, err := s.client("entry-b").Ticket(context.Background(), 2)
		return err == nil && outcome.Status == aubapi.TicketAccepted
	})
}

// TestRestoreFromExportedSnapshot loses all data folders and restores the site from an
// exported snapshot.
func TestRestoreFromExportedSnapshot(t *testing.T) {
	s := newSite(t)
	var out, errOut bytes.Buffer
	export := []string{"snapshot", "export", "--admin", "http://" + s.adminAddresses["entry-b"], "--credential_file", s.path("credential"), "--out", s.path("snapshot.bin")}
	qt.Assert(t, Run(export, &out, &errOut), qt.Equals, ExitDone, qt.Commentf("%s", errOut.String()))
	for _, name := range s.entries {
		s.signal(t, name, syscall.SIGKILL)
		qt.Assert(t, os.RemoveAll(s.path("data-"+name)), qt.IsNil)
	}
	restore := []string{"snapshot", "restore", "--settings", s.settingsFiles["entry-c"], "--from", s.path("snapshot.bin"), "--accept_loss"}
	qt.Assert(t, Run(restore, &out, &errOut), qt.Equals, ExitDone, qt.Commentf("%s", errOut.String()))
	for _, name := range []string{"entry-c", "entry-a", "entry-b"} {
		s.start(t, name)
	}
	for _, entry := range s.entries {
		s.awaitServing(t, entry)
		outcome, err := s.client(entry).Ticket(context.Background(), 1)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, outcome.Status, qt.Equals, aubapi.TicketAccepted)
	}
}

// TestReplaceInstanceOnAnotherAddress restarts a lost entry under its name with an empty
// data folder and another internal address, then kills one of the others: the new
// instance and the remaining one must form a quorum.
func TestReplaceInstanceOnAnotherAddress(t *testing.T) {
	s := newSite(t)
	s.signal(t, "entry-c", syscall.SIGKILL)
	qt.Assert(t, os.RemoveAll(s.path("data-entry-c")), qt.IsNil)
	data, err := os.ReadFile(s.settingsFiles["entry-c"])
	qt.Assert(t, err, qt.IsNil)
	var cfg struct {
		Internal struct{ Listen string }
	}
	qt.Assert(t, yaml.Unmarshal(data, &cfg), qt.IsNil)
	moved := strings.ReplaceAll(string(data), cfg.Internal.Listen, addressPicker{}.next())
	writeFile(t, s.settingsFiles["entry-c"], moved)
	s.start(t, "entry-c")
	s.awaitServing(t, "entry-c")
	s.awaitVoterPromotion(t, "entry-c")

	s.signal(t, "entry-a", syscall.SIGKILL)
	change := aubapi.Ticket{Number: 2, Workspaces: []aubapi.Workspace{{Name: "late", Rate: 1, Burst: 10}}}
	eventually(t, "ticket 2 accepted by the new instance and one old one", func() bool {
		outcome, err := s.client("entry-c").ApplyTicket(context.Background(), change, time.Second)
		return err == nil && outcome.Status == aubapi.TicketAccepted
	})
}

// awaitVoterPromotion waits until the log of an entry reports the promotion of a learner
// to a voter; only the leader logs it.
func (s *site) awaitVoterPromotion(t *testing.T, name string) {
	eventually(t, name+" is a voter", func() bool {
		for _, entry := range s.entries {
			if strings.Contains(s.processes[entry].log.String(), "Learner becomes a voter.") {
				return true
			}
		}
		return false
	})
}

// confirmUntilFinal repeats one call with an idempotency key through the entries in
// round-robin order until its outcome is final. It reports whether the last response,
// after all attempts, said not run.
func (s *site) confirmUntilFinal(i int) (notRun bool) {
	key := fmt.Sprintf("swap-%d", i)
	for try := range 20 {
		resp := post(s.callerAddresses[s.entries[(i+try)%len(s.entries)]], "/roster/swaps/confirm", key, key)
		notRun = resp.err == nil && strings.Contains(resp.body, `"execution":"not_run"`)
		if resp.err == nil && (resp.status == http.StatusOK || strings.Contains(resp.body, "outcome_unknown")) {
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return notRun
}

// confirmationCounts returns how often the service ran each call, by request body.
func confirmationCounts(t *testing.T, s *site) map[string]int {
	resp, err := http.Get(s.standinURLs["engine-roster"] + aubstandin.PathConfirmations)
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	var counts map[string]int
	qt.Assert(t, json.NewDecoder(resp.Body).Decode(&counts), qt.IsNil)
	return counts
}

// standinStats returns the counters of a stand-in.
func standinStats(t *testing.T, address string) aubstandin.Stats {
	resp, err := http.Get(address + aubstandin.PathStats)
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	var stats aubstandin.Stats
	qt.Assert(t, json.NewDecoder(resp.Body).Decode(&stats), qt.IsNil)
	return stats
}
